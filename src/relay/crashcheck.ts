/**
 * Tells a server that has crashed from one that this instance can't reach: a partition breaks
 * connections and refuses new ones just as a crash does. A server that is down counts as crashed at
 * once if another server of its zone is reached, otherwise once it is back as another process.
 */
import { firstValueFrom, timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { Random } from '../common/random.js';
import type { Fleet } from './fleet.js';
import { identify, isReachable } from './identity.js';
import type { IdentityContext } from './identity.js';
import type { ServerEntry } from './serverentry.js';
import { isUsable, sameProcess } from './serverstate.js';

/** Servers of the zone that are asked whether they accept connections. */
const MAX_WITNESSES = 3;
/** How often a server is asked for its id while none of its zone is reached. */
const RECHECK_MS = 500;
/** A server that is away for longer is no longer compared with the one that was lost. */
const RECHECK_LIMIT_MS = 30_000;

/** What is found at a server's address: nothing, no answer, the server, or another process. */
type Presence = 'unreached' | 'silent' | 'alive' | 'replaced';

export interface CrashCheckContext {
  readonly fleet: Fleet;
  readonly identity: IdentityContext;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
}

export class CrashCheck {
  readonly #context: CrashCheckContext;

  private constructor(context: CrashCheckContext) {
    this.#context = context;
  }

  static of(context: CrashCheckContext): CrashCheck {
    return new CrashCheck(context);
  }

  /** Whether a server whose connection has just broken has crashed; resolves once that is known. */
  async hasCrashed(server: ServerEntry): Promise<boolean> {
    const { scheduler } = this.#context;
    const until = scheduler.now() + RECHECK_LIMIT_MS;
    let presence = await this.#probeWithZone(server);
    while ((presence === 'unreached' || presence === 'silent') && scheduler.now() < until) {
      // eslint-disable-next-line no-await-in-loop -- asked again after each pause
      await firstValueFrom(timer(RECHECK_MS, scheduler));
      // eslint-disable-next-line no-await-in-loop -- one question after the other
      presence = await this.#probeWithZone(server);
    }
    return presence === 'replaced' || presence === 'down';
  }

  /** `down` if the server is not reached before and after another one of its zone is. */
  async #probeWithZone(server: ServerEntry): Promise<Presence | 'down'> {
    const presence = await this.#probe(server);
    if (presence !== 'unreached' || !await this.#reachesZone(server)) return presence;
    const again = await this.#probe(server);
    return again === 'unreached' ? 'down' : again;
  }

  async #probe(server: ServerEntry): Promise<Presence> {
    const listed = this.#context.fleet.server(server.id)?.entry;
    if (listed && !sameProcess(listed, server)) return 'replaced';
    const identity = await identify(server, this.#context.identity);
    switch (identity.kind) {
      case 'unreached':
      case 'silent': return identity.kind;
      case 'reached': return 'alive';
      case 'known': return identity.id === server.id ? 'alive' : 'replaced';
    }
  }

  /**
   * Whether another server of a server's zone accepts a connection now. That bytes of one have just
   * been read proves nothing, as they may have come before the loss.
   */
  async #reachesZone({ id, zone }: ServerEntry): Promise<boolean> {
    const {
      fleet, random, scheduler, identity: { connections },
    } = this.#context;
    const others = fleet.servers.filter((state) => (
      state.entry.zone === zone && state.entry.id !== id && isUsable(state, scheduler.now())));
    const reached = await Promise.all(random.shuffled(others).slice(0, MAX_WITNESSES)
      .map(({ entry }) => isReachable(entry, connections)));
    return reached.includes(true);
  }
}
