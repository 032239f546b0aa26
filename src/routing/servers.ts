/**
 * The backend servers as routing sees them: what the directory and the configuration say, with this
 * daemon's own load estimates and circuit breakers on top.
 */
import type { Random } from '../common/random.js';
import type { Configuration } from '../configuration/configuration.js';
import type { Directory, EngineView } from '../engines/directory.js';
import { BLOCK_CHARACTERS } from '../engines/prefix.js';
import {
  allows, breakerOutcome, breakerSent, CLOSED,
} from './breaker.js';
import type { Breaker } from './breaker.js';
import type { Candidate } from './choice.js';
import type { AttemptOutcome } from './dispatcher.js';
import { DEFAULT_POOL, exclusion, heldVersion } from './eligibility.js';
import type { Exclusion, Need, ServerView } from './eligibility.js';
import type { PrefixIndex } from './prefixindex.js';
import { InteractiveLoads, roomFor } from './reserve.js';
import {
  IDLE_SERVER, loadDispatched, loadReleased, loadReported, occupancy, placesLeft,
} from './serverload.js';
import type { ServerLoad } from './serverload.js';
import type { Priority } from '../common/priority.js';

const CHARACTERS_PER_TOKEN = 4;
const PREFILL_TOKENS_PER_STEP = 2_048;
/** A plain service's call counts as this many engine steps' worth of contention. */
const SERVICE_STEP_MS = 1;

/** A request as far as the servers matter to it. */
export interface ServerQuery {
  readonly need: Need;
  readonly priority: Priority;
  readonly resume: boolean;
  /** Servers that it was tried on. */
  readonly exclude: readonly string[];
  /** Prefix blocks of the prompt, and the characters of the whole of it. */
  readonly blocks: readonly string[];
  readonly characters: number;
}

export interface MatchResult {
  /** Servers that may take the request now. */
  readonly candidates: readonly Candidate[];
  /** Servers that could take it but have no room now. */
  readonly full: number;
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
  /** Daemons that send to the same servers, this one included. */
  readonly daemons: () => number;
}

/** Who else sends to the servers. */
interface OtherSenders {
  readonly daemons: number;
  /** Interactive requests in flight per server, by pool. */
  readonly interactive: (pool: string) => number;
}

interface ServerState { readonly load: ServerLoad; readonly breaker: Breaker }

const NEW_SERVER: ServerState = { load: IDLE_SERVER, breaker: CLOSED };

/** Milliseconds that a server takes to prefill what it has not cached. */
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
    busyMs: Math.max(0, load.busyUntil - now),
    prefillMs: report ? prefillMs(characters, cachedBlocks, stepMs) : 0,
    version: version ?? '',
    configured: need.kind === 'service' || version === need.configured,
  };
}

/** Whether the request finds a place at the server now. */
function hasRoom(
  { priority, resume }: ServerQuery,
  { server: { pool } }: ServerView,
  slots: number,
  load: ServerLoad,
  { daemons, interactive }: OtherSenders,
): boolean {
  if (priority === 'interactive') return occupancy(load) < slots;
  // After a loss all daemons resume at once; the places are theirs by lot, too.
  const room = roomFor(resume ? 'standard' : priority, slots, interactive(pool));
  return placesLeft(load, room, daemons) > 0;
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
    const others: OtherSenders = { daemons, interactive };
    const credits = new Map(this.#prefixes.lookup(query.blocks, now)
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
      const load = this.#reported(view, now);
      if (!hasRoom(query, view, slots, load, others)) {
        full += 1;
        return;
      }
      candidates.push(candidateOf(query, view, slots, load, credits.get(name) ?? 0, now));
    });
    return { candidates, full, excluded };
  }

  /** Notes that interactive requests began or ended in a pool. */
  interactiveChanged(pool: string, change: 1 | -1, now: number): void {
    this.#interactive.changed(pool, change, this.#context.daemons(), now);
  }

  /** Notes that a request was given to a server. */
  sent(query: ServerQuery, candidate: Candidate, now: number): void {
    const { server } = candidate;
    this.#takeReport(server, now);
    const { load, breaker } = this.#stateOf(server);
    this.#states.set(server, {
      load: loadDispatched(load, candidate.prefillMs, now), breaker: breakerSent(breaker, now),
    });
    if (query.need.kind === 'model') this.#prefixes.dispatched(server, query.blocks, now);
  }

  /** Takes the outcome of a request; true when it opened the server's circuit breaker. */
  released(server: string, outcome: AttemptOutcome, now: number): boolean {
    this.#takeReport(server, now);
    const { load, breaker } = this.#stateOf(server);
    const next = breakerOutcome(breaker, outcome, now, this.#context.random);
    this.#states.set(server, { load: loadReleased(load), breaker: next });
    return next.kind === 'open' && breaker.kind !== 'open';
  }

  /** Forgets servers that the configuration no longer names and that have nothing in flight. */
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

  /** Takes in a waiting report before the counts change, so that it is compared with its own. */
  #takeReport(server: string, now: number): void {
    const view = this.#context.directory.engine(server);
    if (view) this.#reported(view, now);
  }

  /** The server's load, with a report that is new since the last look taken in. */
  #reported(view: ServerView | EngineView, now: number): ServerLoad {
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
