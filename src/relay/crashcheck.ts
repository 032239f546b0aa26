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
import { sameProcess } from './serverstate.js';

/** Servers of the zone that are asked whether they accept connections. */
const MAX_WITNESSES = 3;
/** How often a server is asked for its id while none of its zone is reached. */
const RECHECK_MS = 500;
/** A server that is away for longer is no longer compared with the one that was lost. */
const RECHECK_LIMIT_MS = 30_000;

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
    const lostAt = scheduler.now();
    let verdict = await this.#ask(server);
    if (verdict === undefined && await this.#reachesZone(server, lostAt)) return true;
    while (verdict === undefined && scheduler.now() - lostAt < RECHECK_LIMIT_MS) {
      // eslint-disable-next-line no-await-in-loop -- asked again after each pause
      await firstValueFrom(timer(RECHECK_MS, scheduler));
      // eslint-disable-next-line no-await-in-loop -- one question after the other
      verdict = await this.#ask(server);
    }
    return verdict ?? false;
  }

  /** Whether another process has taken the server's place; undefined if nothing is reached. */
  async #ask(server: ServerEntry): Promise<boolean | undefined> {
    const listed = this.#context.fleet.server(server.id)?.entry;
    if (listed && !sameProcess(listed, server)) return true;
    const identity = await identify(server, this.#context.identity);
    switch (identity.kind) {
      case 'unreached': return undefined;
      case 'reached':
      case 'silent': return false;
      case 'known': return identity.id !== server.id;
    }
  }

  /** Whether any other server of a server's zone has sent something since, or can be reached. */
  async #reachesZone({ id, zone }: ServerEntry, since: number): Promise<boolean> {
    const { fleet, random, identity: { connections } } = this.#context;
    const others = fleet.servers.filter(({ entry, expiresAt }) => (
      entry.zone === zone && entry.id !== id && expiresAt === undefined));
    if (others.some(({ entry }) => fleet.heardAt(entry.id) > since)) return true;
    const witnesses = random.shuffled(others).slice(0, MAX_WITNESSES);
    const reached = await Promise.all(witnesses.map(({ entry }) => (
      isReachable(entry, connections))));
    return reached.includes(true);
  }
}
