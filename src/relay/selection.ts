/**
 * Which backend server gets a request. Decisions over plain values, so that they can be played
 * without a network.
 *
 * For generations the time to the first event is set by the prompt tokens that an engine still has
 * to read, and the room by tokens of memory: an engine with free slots may have none for another
 * prompt. For plain services it is set by what is in progress and by how the server did lately.
 */
import type { EngineCapacity } from './routes.js';
import { addLoad, failureRate } from './serverstate.js';
import type { Load, ServerState } from './serverstate.js';

/** Prompt tokens that an engine reads in a millisecond, from the deployments' sheets. */
const PREFILL_TOKENS_PER_MS = 8;
/**
 * What one more run beside it costs a run, in milliseconds to the first event: a share of an
 * engine's step, some hundred of which make an answer.
 */
const RUN_COST_MS = 40;
/** Part of an engine's memory that may be promised; the rest is for prompts counted too low. */
const MAX_MEMORY_SHARE = 0.95;
/** A standby copy weighs less than a run: most are dropped unused. */
const STANDBY_WEIGHT = 0.5;
/** One way to another zone and back. */
const OTHER_ZONE_RTT_MS = 3;
/** What is lost on a server that fails with its zone, and isn't known to yet. */
const ZONE_SUSPECT_PENALTY_MS = 1_000;
/** What a failed request costs its caller in milliseconds: about the time to ask again. */
const FAILURE_PENALTY_MS = 400;

export interface Candidate {
  readonly server: ServerState;
  /** What all instances have given to it, as far as is known. */
  readonly load: Load;
  /** Whether a server of its zone has just failed, and nothing came from this one since. */
  readonly zoneSuspect: boolean;
}

export interface RunDemand {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly zone: string;
  /** Tokens of the prompt that an engine, by its id, holds already. */
  readonly cachedTokens?: (server: string) => number;
}

export function requiredMemory({ promptTokens, outputTokens }: RunDemand): number {
  return promptTokens + outputTokens;
}

/** Whether the engine has a slot and the memory for one more run. */
export function hasCapacity(
  { load }: Candidate,
  demand: RunDemand,
  capacity: EngineCapacity,
): boolean {
  return load.running < capacity.slots
    && load.memoryTokens + load.standbyTokens + requiredMemory(demand)
      <= capacity.memoryTokens * MAX_MEMORY_SHARE;
}

/** Tokens of the prompt that the engine would have to read. */
export function uncachedTokens(
  { entry }: ServerState,
  { promptTokens, cachedTokens }: RunDemand,
): number {
  return Math.max(0, promptTokens - (cachedTokens?.(entry.id) ?? 0));
}

/** Expected time until the engine's first event, with what one more run costs the others. */
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

/** The engine for a run; undefined when none has room. */
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

/** The engine to keep a standby copy: outside the zone that may fail with the run's engine. */
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
    load.memoryTokens + STANDBY_WEIGHT * load.standbyTokens + load.prefillTokens
    + (zoneSuspect ? capacity.memoryTokens : 0)));
}

/** The server for a call to a plain service. */
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

/** The load on a server as all instances together know it. */
export function totalLoad(own: Load, others: readonly Load[]): Load {
  return others.reduce(addLoad, own);
}
