/**
 * Selects the backend server for a request. Pure functions over plain values, which tests call
 * without a network.
 *
 * For generations, the time to the first event depends on the prompt tokens that the engine still
 * has to prefill, and capacity is counted in tokens of memory: an engine with free slots may lack
 * the memory for another prompt. For plain services, the cost depends on the requests in progress
 * and on the server's recent durations and failures.
 */
import { delayPerLoad, paceFactor, runsPastLimit } from './pacing.js';
import type { Pacing } from './pacing.js';
import type { EngineCapacity } from './routes.js';
import { addLoad, failureRate, isUsable } from './serverstate.js';
import type { Load, ServerState } from './serverstate.js';

/** Prompt tokens that an engine prefills per millisecond, from the deployments' data sheets. */
export const PREFILL_TOKENS_PER_MS = 8;
/**
 * Cost of each concurrent run, as milliseconds added to the time to the first event: it slows every
 * step of the engine a little, and a response takes some hundred steps.
 */
const RUN_COST_MS = 40;
/**
 * Cost of each run past the number that an engine takes well, which slows all of them. It is part
 * of the time and no bound: where no other engine has room, a run is placed as before.
 */
const PAST_LIMIT_COST_MS = 400;
/** Share of an engine's memory to allocate; the rest allows for undercounted prompts. */
export const MAX_MEMORY_SHARE = 0.95;
/** Weight of a standby copy against a run's memory: most copies are dropped unused. */
const STANDBY_WEIGHT = 0.5;
/** Round trip to another zone. */
const OTHER_ZONE_RTT_MS = 3;
/** Expected loss on a server that may have failed with its zone without being detected yet. */
const ZONE_SUSPECT_PENALTY_MS = 1_000;
/** Mean duration above which a server with a rate limit is used less than that allows. */
const SLOW_RESPONSE_MS = 100;
/** Half-life of what is known of the duration of a server with a rate limit. */
const DURATION_HALF_LIFE_MS = 1_000;
/** Cost of a failed request to its caller: about the time of a retry. */
const FAILURE_PENALTY_MS = 400;

/** What a server's rate limit admits. */
export interface Admission {
  /** Whether the server names a rate limit. */
  readonly isLimited: boolean;
  /** Time until its limit admits a request; 0 if it does now, infinite if not in sight. */
  readonly delayMs: number;
}

export interface Candidate extends Admission {
  readonly server: ServerState;
  /** Load that all instances have assigned to the server, as far as this instance knows. */
  readonly load: Load;
  /** Whether a server of its zone failed recently and this one has not been heard from since. */
  readonly zoneSuspect: boolean;
  /** How fast the server is, and what it takes well; the mean if undefined. */
  readonly pace?: Pacing | undefined;
}

export interface RunDemand {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly zone: string;
  /** Prompt tokens that an engine, given by its id, has cached. */
  readonly cachedTokens?: ((server: string) => number) | undefined;
}

export function requiredMemory({ promptTokens, outputTokens }: RunDemand): number {
  return promptTokens + outputTokens;
}

/** Room for a run and, if engines keep them, its standby copy. */
export function requiredRoom(demand: RunDemand, { standby }: EngineCapacity): number {
  return requiredMemory(demand) * (standby ? 2 : 1);
}

/** Room of engines together, and how much of it is in use. */
export function roomOf(
  candidates: readonly Candidate[],
  demand: RunDemand,
  { memoryTokens }: EngineCapacity,
): { readonly capacity: number; readonly inUse: number } {
  const run = Math.max(1, requiredMemory(demand));
  return {
    // What is left of an engine beside whole runs is of no use.
    capacity: candidates.length * run * Math.floor((memoryTokens * MAX_MEMORY_SHARE) / run),
    inUse: candidates.reduce((sum, { load }) => sum + load.memoryTokens + load.standby, 0),
  };
}

/** Whether the engine has a free slot and enough memory for the run. */
export function hasCapacity(
  { load }: Candidate,
  demand: RunDemand,
  capacity: EngineCapacity,
): boolean {
  return load.running < capacity.slots
    && load.memoryTokens + load.standby + requiredMemory(demand)
      <= capacity.memoryTokens * MAX_MEMORY_SHARE;
}

/** Prompt tokens that the engine would have to prefill. */
export function uncachedTokens(
  { entry }: ServerState,
  { promptTokens, cachedTokens }: RunDemand,
): number {
  return Math.max(0, promptTokens - (cachedTokens?.(entry.id) ?? 0));
}

/** Expected time to the engine's first event, including the cost of its concurrent runs. */
export function firstEventMs(candidate: Candidate, demand: RunDemand): number {
  const { server, load } = candidate;
  const prefillMs = (load.prefillTokens + uncachedTokens(server, demand)) / PREFILL_TOKENS_PER_MS;
  const zoneLatencyMs = server.entry.zone === demand.zone ? 0 : OTHER_ZONE_RTT_MS;
  return paceFactor(candidate) * (prefillMs + load.running * RUN_COST_MS)
    + runsPastLimit(candidate) * PAST_LIMIT_COST_MS + zoneLatencyMs;
}

function minBy<Item>(items: readonly Item[], cost: (item: Item) => number): Item | undefined {
  let best: Item | undefined;
  let lowest = Infinity;
  items.forEach((item) => {
    const value = cost(item);
    if (value < lowest) {
      best = item;
      lowest = value;
    }
  });
  return best;
}

/** Whether every candidate is at its rate limit. */
export function areAllThrottled(candidates: readonly Candidate[]): boolean {
  return candidates.length > 0 && candidates.every(({ delayMs }) => delayMs > 0);
}

/** Selects the engine for a run; undefined when none has capacity within its rate limit. */
export function selectEngine(
  candidates: readonly Candidate[],
  demand: RunDemand,
  capacity: EngineCapacity,
  now: number,
): Candidate | undefined {
  const eligible = candidates.filter((candidate) => (
    candidate.delayMs === 0 && hasCapacity(candidate, demand, capacity)));
  return minBy(eligible, (candidate) => firstEventMs(candidate, demand)
    + FAILURE_PENALTY_MS * failureRate(candidate.server, now)
    + (candidate.zoneSuspect ? ZONE_SUSPECT_PENALTY_MS : 0));
}

/**
 * Selects the engine for a standby copy, if possible outside the zone of the run's engine. One that
 * names a rate limit may not admit the run when it has to resume.
 */
export function selectStandby(
  candidates: readonly Candidate[],
  demand: RunDemand,
  capacity: EngineCapacity,
  primary: ServerState,
): Candidate | undefined {
  const others = candidates.filter((candidate) => candidate.server.entry.id !== primary.entry.id
    && !candidate.isLimited && hasCapacity(candidate, demand, capacity));
  const otherZones = others.filter(({ server }) => server.entry.zone !== primary.entry.zone);
  return minBy(otherZones.length > 0 ? otherZones : others, ({ load, zoneSuspect }) => (
    load.memoryTokens + STANDBY_WEIGHT * load.standby + load.prefillTokens
    + (zoneSuspect ? capacity.memoryTokens : 0)));
}

/**
 * Duration expected of a limited server. It answers few requests, so its mean is old and would keep
 * it from being used up to its limit: unless it is slow, and was lately, it counts as the fastest.
 */
function limitedDurationMs(server: ServerState, fastestMs: number, now: number): number {
  const ageMs = Math.max(0, now - server.outcomeAt);
  const meanMs = server.meanDurationMs * 0.5 ** (ageMs / DURATION_HALF_LIFE_MS);
  return meanMs < SLOW_RESPONSE_MS ? fastestMs : meanMs;
}

/** Selects the server for a call to a plain service; undefined when none admits it now. */
export function selectServer(
  candidates: readonly Candidate[],
  zone: string,
  now: number,
): Candidate | undefined {
  const admitting = candidates.filter(({ delayMs }) => delayMs === 0);
  const fastestMs = Math.min(...admitting.map(({ server }) => server.meanDurationMs));
  const pacedMs = delayPerLoad(admitting);
  return minBy(admitting, (candidate) => {
    const {
      server, load, zoneSuspect, isLimited,
    } = candidate;
    const durationMs = isLimited
      ? limitedDurationMs(server, fastestMs, now) : server.meanDurationMs;
    const slots = Math.max(1, server.entry.slots);
    const failurePenalty = FAILURE_PENALTY_MS * failureRate(server, now);
    const zoneLatencyMs = server.entry.zone === zone ? 0 : OTHER_ZONE_RTT_MS;
    const suspectPenalty = zoneSuspect ? ZONE_SUSPECT_PENALTY_MS : 0;
    return (pacedMs?.(candidate) ?? durationMs * (1 + load.running / slots))
      + failurePenalty + zoneLatencyMs + suspectPenalty;
  });
}

/** Load on a server: this instance's own and what the other instances report. */
export function totalLoad(own: Load, others: readonly Load[]): Load {
  return others.reduce(addLoad, own);
}

/** Room in use at a service's engines that get no new runs, such as those that leave. */
export function unusableRoom(
  servers: readonly ServerState[],
  service: string,
  peerLoads: (server: string) => readonly Load[],
  now: number,
): number {
  return servers.filter((server) => server.entry.service === service && !isUsable(server, now))
    .map(({ entry, ownLoad }) => totalLoad(ownLoad, peerLoads(entry.id)))
    .reduce((sum, { memoryTokens, standby }) => sum + memoryTokens + standby, 0);
}
