/**
 * Selects the backend server for a request. Pure functions over plain values, which tests call
 * without a network.
 *
 * For generations, the time to the first event depends on the prompt tokens that the engine still
 * has to prefill, and capacity is counted in tokens of memory: an engine with free slots may lack
 * the memory for another prompt. For plain services, the cost depends on the requests in progress
 * and on the server's recent durations and failures.
 */
import type { EngineCapacity } from './routes.js';
import { addLoad, failureRate } from './serverstate.js';
import type { Load, ServerState } from './serverstate.js';

/** Prompt tokens that an engine prefills per millisecond, from the deployments' data sheets. */
const PREFILL_TOKENS_PER_MS = 8;
/**
 * Cost of each concurrent run, as milliseconds added to the time to the first event: it slows every
 * step of the engine a little, and a response takes some hundred steps.
 */
const RUN_COST_MS = 40;
/** Share of an engine's memory to allocate; the rest allows for undercounted prompts. */
const MAX_MEMORY_SHARE = 0.95;
/** Weight of a standby copy against a run's memory: most copies are dropped unused. */
const STANDBY_WEIGHT = 0.5;
/** Round trip to another zone. */
const OTHER_ZONE_RTT_MS = 3;
/** Expected loss on a server that may have failed with its zone without being detected yet. */
const ZONE_SUSPECT_PENALTY_MS = 1_000;
/** Cost of a failed request to its caller: about the time of a retry. */
const FAILURE_PENALTY_MS = 400;

export interface Candidate {
  readonly server: ServerState;
  /** Load that all instances have assigned to the server, as far as this instance knows. */
  readonly load: Load;
  /** Whether a server of its zone failed recently and this one has not been heard from since. */
  readonly zoneSuspect: boolean;
}

export interface RunDemand {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly zone: string;
  /** Prompt tokens that an engine, given by its id, has cached. */
  readonly cachedTokens?: (server: string) => number;
}

export function requiredMemory({ promptTokens, outputTokens }: RunDemand): number {
  return promptTokens + outputTokens;
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
export function firstEventMs({ server, load }: Candidate, demand: RunDemand): number {
  const prefillMs = (load.prefillTokens + uncachedTokens(server, demand)) / PREFILL_TOKENS_PER_MS;
  const zoneLatencyMs = server.entry.zone === demand.zone ? 0 : OTHER_ZONE_RTT_MS;
  return prefillMs + load.running * RUN_COST_MS + zoneLatencyMs;
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

/** Selects the engine for a run; undefined when none has capacity. */
export function selectEngine(
  candidates: readonly Candidate[],
  demand: RunDemand,
  capacity: EngineCapacity,
  now: number,
): Candidate | undefined {
  const eligible = candidates.filter((candidate) => hasCapacity(candidate, demand, capacity));
  return minBy(eligible, (candidate) => firstEventMs(candidate, demand)
    + FAILURE_PENALTY_MS * failureRate(candidate.server, now)
    + (candidate.zoneSuspect ? ZONE_SUSPECT_PENALTY_MS : 0));
}

/** Selects the engine for a standby copy, if possible outside the zone of the run's engine. */
export function selectStandby(
  candidates: readonly Candidate[],
  demand: RunDemand,
  capacity: EngineCapacity,
  primary: ServerState,
): Candidate | undefined {
  const others = candidates.filter((candidate) => candidate.server.entry.id !== primary.entry.id
    && hasCapacity(candidate, demand, capacity));
  const otherZones = others.filter(({ server }) => server.entry.zone !== primary.entry.zone);
  return minBy(otherZones.length > 0 ? otherZones : others, ({ load, zoneSuspect }) => (
    load.memoryTokens + STANDBY_WEIGHT * load.standby + load.prefillTokens
    + (zoneSuspect ? capacity.memoryTokens : 0)));
}

/** Selects the server for a call to a plain service. */
export function selectServer(
  candidates: readonly Candidate[],
  zone: string,
  now: number,
): Candidate | undefined {
  return minBy(candidates, ({ server, load, zoneSuspect }) => {
    const slots = Math.max(1, server.entry.slots);
    const failurePenalty = FAILURE_PENALTY_MS * failureRate(server, now);
    const zoneLatencyMs = server.entry.zone === zone ? 0 : OTHER_ZONE_RTT_MS;
    const suspectPenalty = zoneSuspect ? ZONE_SUSPECT_PENALTY_MS : 0;
    return server.meanDurationMs * (1 + load.running / slots)
      + failurePenalty + zoneLatencyMs + suspectPenalty;
  });
}

/** Load on a server: this instance's own and what the other instances report. */
export function totalLoad(own: Load, others: readonly Load[]): Load {
  return others.reduce(addLoad, own);
}
