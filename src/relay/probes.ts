/** Probes suspect servers until they can be reached again, and identifies them then. */
import { Subscription } from 'rxjs';
import type { Log } from '../common/log.js';
import { identifyProcess, isReachable } from './identity.js';
import type { IdentityContext, ServerProcess } from './identity.js';
import type { ServerEntry } from './serverentry.js';

/** How often a suspect server is probed: restarts after a crash commonly take a second. */
const PROBE_INTERVAL_MS = 100;
/** Minimum time between two checks of a server that other instances report as suspect. */
const VERIFY_INTERVAL_MS = 1_500;

export interface ProbesContext extends IdentityContext {
  readonly log: Log;
}

export class Probes {
  readonly #context: ProbesContext;

  /** Servers that are being probed until they answer. */
  readonly #probing = new Set<string>();

  /** When a server was last checked because another instance reported it as suspect. */
  readonly #verifiedAt = new Map<string, number>();

  #running = new Subscription();

  private constructor(context: ProbesContext) {
    this.#context = context;
  }

  static of(context: ProbesContext): Probes {
    return new Probes(context);
  }

  /** Probes until the subscription ends. */
  run(): Subscription {
    this.#running = new Subscription();
    return this.#running;
  }

  /**
   * Probes a server at intervals until it is reached.
   * @param getEntry returns the server's entry, or undefined once it need not be probed any more
   */
  start(
    id: string,
    getEntry: () => ServerEntry | undefined,
    onResult: (process: ServerProcess) => void,
  ): void {
    if (this.#probing.has(id)) return;
    this.#probing.add(id);
    const probe = async (): Promise<void> => {
      const server = getEntry();
      const found = server && await identifyProcess(server, this.#context);
      if (found?.identity.kind === 'unreached') {
        this.#schedule(id, probe);
        return;
      }
      this.#probing.delete(id);
      if (found) onResult(found);
    };
    this.#schedule(id, probe);
  }

  /** Checks once whether a server that another instance can't reach accepts a connection. */
  verify(server: ServerEntry, onResult: (accepted: boolean) => void): void {
    const now = this.#context.scheduler.now();
    if (now - (this.#verifiedAt.get(server.id) ?? -Infinity) < VERIFY_INTERVAL_MS) return;
    this.#verifiedAt.forEach((at, id) => {
      if (now - at > VERIFY_INTERVAL_MS) this.#verifiedAt.delete(id);
    });
    this.#verifiedAt.set(server.id, now);
    isReachable(server, this.#context.connections)
      .then(onResult, (error: unknown) => this.#failed(server.id, error));
  }

  #schedule(id: string, probe: () => Promise<void>): void {
    this.#running.add(this.#context.scheduler.schedule(() => {
      probe().catch((error: unknown) => this.#failed(id, error));
    }, PROBE_INTERVAL_MS));
  }

  #failed(id: string, error: unknown): void {
    this.#probing.delete(id);
    this.#context.log.event('error', 'probe_failed', { server: id, reason: String(error) });
  }
}
