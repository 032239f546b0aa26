/** Shares which engines report that they are leaving, so that no daemon sends them new work. */
import type { SchedulerLike, Subscription } from 'rxjs';
import { timer } from 'rxjs';
import type { Directory } from '../engines/directory.js';
import type { SoftState } from '../membership/softstate.js';

const LEAVING_PREFIX = 'leaving/';
const CHECK_PERIOD_MS = 200;

export class LeavingServers {
  readonly #directory: Directory;

  readonly #softState: SoftState;

  readonly #published = new Set<string>();

  #current: ReadonlySet<string> = new Set();

  private constructor(directory: Directory, softState: SoftState) {
    this.#directory = directory;
    this.#softState = softState;
  }

  static of(directory: Directory, softState: SoftState): LeavingServers {
    return new LeavingServers(directory, softState);
  }

  /** Publishes and follows the leaving engines until the subscription ends. */
  start(scheduler: SchedulerLike): Subscription {
    const running = this.#softState.changes(LEAVING_PREFIX).subscribe((entries) => {
      this.#current = new Set(entries.filter(({ value }) => value === true)
        .map(({ key }) => key.slice(LEAVING_PREFIX.length)));
    });
    running.add(timer(0, CHECK_PERIOD_MS, scheduler).subscribe(() => this.#publishChanges()));
    return running;
  }

  /** Names of the engines that any daemon has published as leaving. */
  get current(): ReadonlySet<string> {
    return this.#current;
  }

  #publishChanges(): void {
    const leaving = new Set(this.#directory.engines()
      .filter(({ report }) => report?.role === 'leaving')
      .map(({ server }) => server.name));
    leaving.forEach((name) => {
      if (!this.#published.has(name)) this.#softState.publish(LEAVING_PREFIX + name, true);
      this.#published.add(name);
    });
    this.#published.forEach((name) => {
      if (leaving.has(name)) return;
      this.#published.delete(name);
      this.#softState.publish(LEAVING_PREFIX + name, undefined);
    });
  }
}
