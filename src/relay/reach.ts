/**
 * Tells whether this instance reaches any server of a service. Where requests are overdue and no
 * server of the service has sent anything since, some are asked for their health; if none answers,
 * the service counts as unreached until one does.
 */
import { interval } from 'rxjs';
import type { SchedulerLike, Subscription } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import type { Fleet } from './fleet.js';
import { identify } from './identity.js';
import type { IdentityContext } from './identity.js';
import type { ServerState } from './serverstate.js';

const TICK_MS = 100;
/** A longer gap means that this process was paused, and has not read what servers sent since. */
const MAX_TICK_GAP_MS = 200;
/** Servers asked at once: more than one, as one alone may be silent for reasons of its own. */
const PROBED_SERVERS = 3;
/** Shortest time between two questions; health checks take a slot of a server. */
const PROBE_INTERVAL_MS = 500;

/** A request that is waiting for a server's response. */
export interface Waiting {
  readonly service: string;
  readonly startedAt: number;
  /** When its first bytes were expected at the latest. */
  readonly dueAt: number;
}

export interface ReachContext {
  /** Whether requests can go to a service; entries name others as well. */
  readonly isRouted: (service: string) => boolean;
  readonly fleet: Fleet;
  readonly identity: IdentityContext;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
}

/** Whether a request is overdue at a service of which nothing was heard since it was sent. */
export function isSilent(waiting: readonly Waiting[], heardAt: number, now: number): boolean {
  return waiting.some(({ startedAt, dueAt }) => now > dueAt && heardAt < startedAt);
}

export class Reach {
  readonly #context: ReachContext;

  readonly #waiting = new Set<Waiting>();

  /** Services whose servers answer nothing, with the time since when. */
  readonly #silent = new Map<string, number>();

  readonly #probedAt = new Map<string, number>();

  private constructor(context: ReachContext) {
    this.#context = context;
  }

  static of(context: ReachContext): Reach {
    return new Reach(context);
  }

  /** Checks the requests that wait until the subscription ends. */
  start(): Subscription {
    const { scheduler } = this.#context;
    let tickedAt = scheduler.now();
    return interval(TICK_MS, scheduler).subscribe(() => {
      const gapMs = scheduler.now() - tickedAt;
      tickedAt = scheduler.now();
      if (gapMs <= MAX_TICK_GAP_MS) this.#check();
    });
  }

  /** Watches a request until the returned function is called. */
  watch(waiting: Waiting): () => void {
    this.#waiting.add(waiting);
    return () => this.#waiting.delete(waiting);
  }

  /** Whether the servers of a service accept connections, but answer nothing. */
  isSilent(service: string): boolean {
    return this.#silent.has(service);
  }

  /** Whether this instance reaches no server of a service that has any. */
  isUnreached(service: string): boolean {
    if (this.#silent.has(service)) return true;
    const servers = this.#servers(service);
    return servers.length > 0 && servers.every(({ health }) => health.kind === 'suspect');
  }

  /** The services of which this instance reaches no server. */
  get unreached(): readonly string[] {
    return this.#services.filter((service) => this.isUnreached(service));
  }

  /** Whether it reaches no server of any service. */
  get isCutOff(): boolean {
    const services = this.#services;
    return services.length > 0 && services.every((service) => this.isUnreached(service));
  }

  get #services(): readonly string[] {
    const { fleet, isRouted } = this.#context;
    return [...new Set(fleet.servers.map(({ entry }) => entry.service))].filter(isRouted);
  }

  #servers(service: string): readonly ServerState[] {
    return this.#context.fleet.servers.filter(({ entry, expiresAt }) => (
      entry.service === service && entry.state === 'ready' && expiresAt === undefined));
  }

  #heardAt(service: string): number {
    const { fleet } = this.#context;
    return Math.max(0, ...this.#servers(service).map(({ entry }) => fleet.heardAt(entry.id)));
  }

  #check(): void {
    const now = this.#context.scheduler.now();
    const waiting = [...this.#waiting];
    new Set([...waiting.map(({ service }) => service), ...this.#silent.keys()])
      .forEach((service) => {
        const heardAt = this.#heardAt(service);
        const silentSince = this.#silent.get(service);
        if (silentSince !== undefined) {
          if (heardAt > silentSince || this.#servers(service).length === 0) this.#regain(service);
          else this.#probe(service, now);
          return;
        }
        const ofService = waiting.filter((request) => request.service === service);
        if (isSilent(ofService, heardAt, now)) this.#probe(service, now);
      });
  }

  #regain(service: string): void {
    this.#silent.delete(service);
    this.#context.log.event('info', 'service_reached', { service });
  }

  /** Asks some servers for their health, unless they were just asked. */
  #probe(service: string, now: number): void {
    if (now - (this.#probedAt.get(service) ?? -Infinity) < PROBE_INTERVAL_MS) return;
    this.#probedAt.set(service, now);
    const { fleet, identity, random } = this.#context;
    const servers = random.shuffled(this.#servers(service)).slice(0, PROBED_SERVERS);
    Promise.all(servers.map(async ({ entry }) => {
      const found = await identify(entry, identity);
      if (found.kind === 'known') fleet.markIdentified(entry.id, found.id);
      else if (found.kind === 'reached') fleet.markHeard(entry.id, false);
    })).then(() => this.#conclude(service, now), (error: unknown) => (
      this.#context.log.event('error', 'probe_failed', { service, reason: String(error) })));
  }

  #conclude(service: string, probedAt: number): void {
    if (this.#silent.has(service) || this.#heardAt(service) >= probedAt) return;
    const { log } = this.#context;
    this.#silent.set(service, probedAt);
    log.event('warn', 'service_unreached', {
      service,
      waiting: [...this.#waiting].filter((request) => request.service === service).length,
      heard_ms_ago: Math.round(this.#context.scheduler.now() - this.#heardAt(service)),
    });
  }
}
