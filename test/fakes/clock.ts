/** Virtual time for code that mixes scheduled work and promises. */
import { VirtualTimeScheduler } from 'rxjs';

const SETTLE_ROUNDS = 3;

async function settlePromises(): Promise<void> {
  for (let round = 0; round < SETTLE_ROUNDS; round += 1) {
    // eslint-disable-next-line no-await-in-loop -- each round lets one more turn of the loop pass
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

export class VirtualClock extends VirtualTimeScheduler {
  /** Runs what is due in the next `durationMs` in order; promises settle between two moments. */
  async advance(durationMs: number): Promise<void> {
    const until = this.frame + durationMs;
    await settlePromises();
    while (this.actions[0] && this.actions[0].delay <= until) {
      this.maxFrames = this.actions[0].delay;
      this.flush();
      // eslint-disable-next-line no-await-in-loop -- time stands still until the promises settle
      await settlePromises();
    }
    this.frame = until;
  }
}
