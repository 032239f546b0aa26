/**
 * The routing state of the backend servers: combines the directory and the configuration with this
 * daemon's load estimates and circuit breakers.
 */
import type { Random } from '../common/random.js';
import type { Configuration } from '../configuration/configuration.js';
import type { Directory, EngineView } from '../engines/directory.js';
import { BLOCK_CHARACTERS } from '../engines/prefix.js';
import {
  allows, breakerOutcome, breakerDispatched, CLOSED,
} from './breaker.js';
import type { Breaker } from './breaker.js';
import type { Candidate } from './choice.js';
import type { AttemptOutcome } from './dispatcher.js';
import { DEFAULT_POOL, exclusion, heldVersion } from './eligibility.js';
import type { Exclusion, Need, ServerView } from './eligibility.js';
import type { PrefixIndex } from './prefixindex.js';
import { InteractiveLoads, capacityFor } from './reserve.js';
import {
  IDLE_SERVER, loadDispatched, loadReleased, loadReported, occupancy, slotsLeft,
} from './serverload.js';
import type { ServerLoad } from './serverload.js';
import type { Priority } from '../common/priority.js';

const CHARACTERS_PER_TOKEN = 4;
const PREFILL_TOKENS_PER_STEP = 2_048;
/** Step time assumed for plain services, which don't report one. */
const SERVICE_STEP_MS = 1;

/** The properties of a request that determine its candidates and their scores. */
export interface ServerQuery {
  readonly need: Need;
  readonly priority: Priority;
  readonly resume: boolean;
  /** Servers to exclude, as the request was tried there. */
  readonly exclude: readonly string[];
  /** The prompt's prefix blocks, and its length in characters. */
  readonly blocks: readonly string[];
  readonly characters: number;
}

export interface MatchResult {
  /** Eligible servers with capacity. */
  readonly candidates: readonly Candidate[];
  /** Number of eligible servers without capacity. */
  readonly full: number;
  /** Number of ineligible servers by reason. */
  readonly excluded: Readonly<Partial<Record<Exclusion, number>>>;
}

export interface ServerSnapshot {
  readonly server: string;
  readonly inFlight: number;
  readonly othersInFlight: number;
  readonly breaker: Breaker['kind'];
}

export interface ServersContext {
  readonly directory: Directory;
  readonly leaving: () => ReadonlySet<string>;
  readonly random: Random;
  /** Number of daemons that dispatch to the same servers, including this one. */
  readonly daemons: () => number;
}

/** Other traffic that a server's slots are shared with. */
interface SharedTraffic {
  readonly daemons: number;
  /** Mean interactive requests in flight per server of a pool. */
  readonly interactive: (pool: string) => number;
}

interface ServerState { readonly load: ServerLoad; readonly breaker: Breaker }

const NEW_SERVER: ServerState = { load: IDLE_SERVER, breaker: CLOSED };

/** Estimated time to prefill the part of a prompt that isn't cached. */
export function prefillMs(characters: number, cachedBlocks: number, stepMs: number): number {
  const tokens = Math.max(0, characters - cachedBlocks * BLOCK_CHARACTERS) / CHARACTERS_PER_TOKEN;
  return (tokens / PREFILL_TOKENS_PER_STEP) * stepMs;
}

function serviceViews(need: Need, configuration: Configuration): readonly ServerView[] {
  if (need.kind === 'model') return [];
  return Object.values(configuration.servers)
    .filter(({ kind, pool }) => kind === 'service' && pool === need.pool)
    .map((server) => ({ server, health: 'up', report: undefined }));
}

function candidateOf(
  { characters, need }: ServerQuery,
  { server, health, report }: ServerView,
  slots: number,
  load: ServerLoad,
  cachedBlocks: number,
  now: number,
): Candidate {
  const stepMs = report?.stepMs ?? SERVICE_STEP_MS;
  const version = heldVersion(need, report);
  return {
    server: server.name,
    zone: server.zone,
    health,
    occupancy: occupancy(load),
    slots,
    stepMs,
    busyMs: Math.max(0, load.prefillUntil - now),
    prefillMs: report ? prefillMs(characters, cachedBlocks, stepMs) : 0,
    version: version ?? '',
    configured: need.kind === 'service' || version === need.configured,
  };
}

/** Whether the server has a free slot for the request. */
function hasCapacity(
  { priority, resume }: ServerQuery,
  { server: { pool } }: ServerView,
  slots: number,
  load: ServerLoad,
  { daemons, interactive }: SharedTraffic,
): boolean {
  if (priority === 'interactive') return occupancy(load) < slots;
  // After an engine is lost all daemons resume at once, so resumes keep to the daemon's share, too.
  const capacity = capacityFor(resume ? 'standard' : priority, slots, interactive(pool));
  return slotsLeft(load, capacity, daemons) > 0;
}

export class Servers {
  readonly #context: ServersContext;

  readonly #prefixes: PrefixIndex;

  readonly #states = new Map<string, ServerState>();

  readonly #interactive = InteractiveLoads.of();

  private constructor(context: ServersContext, prefixes: PrefixIndex) {
    this.#context = context;
    this.#prefixes = prefixes;
  }

  static of(context: ServersContext, prefixes: PrefixIndex): Servers {
    return new Servers(context, prefixes);
  }

  match(query: ServerQuery, configuration: Configuration, now: number): MatchResult {
    const { need } = query;
    const leaving = this.#context.leaving();
    const daemons = this.#context.daemons();
    const interactive = this.#interactive.perServer(daemons, now);
    const traffic: SharedTraffic = { daemons, interactive };
    const cachedBlocks = new Map(this.#prefixes.lookup(query.blocks, now)
      .map(({ engine, blocks, confidence }) => [engine, blocks * confidence]));
    const views = need.kind === 'model'
      ? this.#context.directory.engines()
      : serviceViews(need, configuration);
    const candidates: Candidate[] = [];
    const excluded: Partial<Record<Exclusion, number>> = {};
    let full = 0;
    views.forEach((view) => {
      const { name } = view.server;
      const pool = configuration.pools[view.server.pool];
      const reason = exclusion(need, view, pool, leaving) ?? this.#ownExclusion(query, name, now);
      if (reason) {
        excluded[reason] = (excluded[reason] ?? 0) + 1;
        return;
      }
      const slots = Math.min(
        (pool ?? DEFAULT_POOL).concurrencyPerServer,
        view.report?.slots ?? Infinity,
      );
      const load = this.#currentLoad(view, now);
      if (!hasCapacity(query, view, slots, load, traffic)) {
        full += 1;
        return;
      }
      candidates.push(candidateOf(query, view, slots, load, cachedBlocks.get(name) ?? 0, now));
    });
    return { candidates, full, excluded };
  }

  /** Records that an interactive request started (1) or ended (-1) in a pool. */
  interactiveChanged(pool: string, change: 1 | -1, now: number): void {
    this.#interactive.changed(pool, change, this.#context.daemons(), now);
  }

  /** Records that a request was dispatched to a server. */
  dispatched(query: ServerQuery, candidate: Candidate, now: number): void {
    const { server } = candidate;
    this.#applyReport(server, now);
    const { load, breaker } = this.#stateOf(server);
    this.#states.set(server, {
      load: loadDispatched(load, candidate.prefillMs, now),
      breaker: breakerDispatched(breaker, now),
    });
    if (query.need.kind === 'model') this.#prefixes.dispatched(server, query.blocks, now);
  }

  /** Records the outcome of a request; returns whether it opened the server's circuit breaker. */
  released(server: string, outcome: AttemptOutcome, now: number): boolean {
    this.#applyReport(server, now);
    const { load, breaker } = this.#stateOf(server);
    const next = breakerOutcome(breaker, outcome, now, this.#context.random);
    this.#states.set(server, { load: loadReleased(load), breaker: next });
    return next.kind === 'open' && breaker.kind !== 'open';
  }

  /** Removes the state of servers that aren't configured and have no requests in flight. */
  configured({ servers }: Configuration): void {
    this.#interactive.configured(Object.values(servers));
    this.#states.forEach(({ load }, name) => {
      if (servers[name] || load.own > 0) return;
      this.#states.delete(name);
      this.#prefixes.forget(name);
    });
  }

  snapshot(): readonly ServerSnapshot[] {
    return [...this.#states].map(([server, { load, breaker }]) => ({
      server, inFlight: load.own, othersInFlight: load.others, breaker: breaker.kind,
    }));
  }

  #stateOf(server: string): ServerState {
    return this.#states.get(server) ?? NEW_SERVER;
  }

  #ownExclusion({ exclude }: ServerQuery, name: string, now: number): Exclusion | undefined {
    if (exclude.includes(name)) return 'tried';
    return allows(this.#stateOf(name).breaker, now) ? undefined : 'breaker';
  }

  /** Applies a new report before the counts change, as it is compared with the old counts. */
  #applyReport(server: string, now: number): void {
    const view = this.#context.directory.engine(server);
    if (view) this.#currentLoad(view, now);
  }

  /** The server's load, after applying its report if that is new. */
  #currentLoad(view: ServerView | EngineView, now: number): ServerLoad {
    const { server: { name }, report } = view;
    const state = this.#stateOf(name);
    if (!report || !('reportedAt' in view) || view.reportedAt === state.load.reportedAt) {
      return state.load;
    }
    const load = loadReported(
      state.load,
      report,
      view.reportedAt,
      this.#context.random.fraction(),
    );
    this.#states.set(name, { ...state, load });
    this.#prefixes.reported(name, report.incarnation, now);
    return load;
  }
}
