/** Asks servers that aren't reached whether they are again, and who they are then. */
import { Subscription } from 'rxjs';
import type { Log } from '../common/log.js';
import { identify, reaches } from './identity.js';
import type { Identity, IdentityContext } from './identity.js';
import type { ServerEntry } from './serverentry.js';

/** How often a suspect server is tried: a part of the second that crashes commonly last. */
const INTERVAL_MS = 100;
/** A server that others don't reach is asked once in this time. */
const DOUBT_INTERVAL_MS = 1_500;

export interface ProbesContext extends IdentityContext {
  readonly log: Log;
}

export class Probes {
  readonly #context: ProbesContext;

  /** Servers that are being asked until they answer. */
  readonly #asked = new Set<string>();

  /** When a server was last asked because another instance didn't reach it. */
  readonly #doubts = new Map<string, number>();

  #running = new Subscription();

  private constructor(context: ProbesContext) {
    this.#context = context;
  }

  static of(context: ProbesContext): Probes {
    return new Probes(context);
  }

  /** Asks until the subscription ends. */
  run(): Subscription {
    this.#running = new Subscription();
    return this.#running;
  }

  /**
   * Asks a server again and again until it is reached.
   * @param suspect the server, or undefined once it need not be asked any more
   */
  start(
    id: string,
    suspect: () => ServerEntry | undefined,
    settled: (identity: Identity) => void,
  ): void {
    if (this.#asked.has(id)) return;
    this.#asked.add(id);
    const ask = async (): Promise<void> => {
      const server = suspect();
      const identity = server && await identify(server, this.#context);
      if (identity?.kind === 'unreached') {
        this.#later(id, ask);
        return;
      }
      this.#asked.delete(id);
      if (identity) settled(identity);
    };
    this.#later(id, ask);
  }

  /** Asks once whether a server that another instance doesn't reach is reached from here. */
  doubt(server: ServerEntry, settled: (accepted: boolean) => void): void {
    const now = this.#context.scheduler.now();
    if (now - (this.#doubts.get(server.id) ?? -Infinity) < DOUBT_INTERVAL_MS) return;
    this.#doubts.forEach((at, id) => {
      if (now - at > DOUBT_INTERVAL_MS) this.#doubts.delete(id);
    });
    this.#doubts.set(server.id, now);
    reaches(server, this.#context.connections)
      .then(settled, (error: unknown) => this.#failed(server.id, error));
  }

  #later(id: string, ask: () => Promise<void>): void {
    this.#running.add(this.#context.scheduler.schedule(() => {
      ask().catch((error: unknown) => this.#failed(id, error));
    }, INTERVAL_MS));
  }

  #failed(id: string, error: unknown): void {
    this.#asked.delete(id);
    this.#context.log.event('error', 'probe_failed', { server: id, reason: String(error) });
  }
}
