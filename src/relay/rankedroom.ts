/** Connects the places kept for other priority ranks to the choice of engines for a stream. */
import type { LogFields } from '../common/log.js';
import { keepersOf } from '../placementrank/room.js';
import type { EngineRoom, KeptPlaces, Taken } from '../placementrank/room.js';
import type { Call } from './call.js';
import type { EngineCapacity } from './routes.js';
import { MAX_MEMORY_SHARE, requiredMemory, requiredRoom } from './selection.js';
import type { Candidate, RunDemand } from './selection.js';
import { addLoad, NO_LOAD } from './serverstate.js';
import type { WorkspaceUses } from './workspaceuses.js';

export interface RankedCandidates {
  /** Those that leave the places kept for other ranks. */
  readonly candidates: readonly Candidate[];
  readonly kept: readonly KeptPlaces[];
  /** Whether the run is within what this instance may use. */
  readonly isWithin: boolean;
}

export type RankedCall = Pick<Call, 'service' | 'priority'>;

export interface RankContext {
  readonly uses: Pick<WorkspaceUses, 'ranks' | 'ownPart'>;
  readonly scheduler: { now(): number };
}

function emptyRoom({ slots, memoryTokens }: EngineCapacity): EngineRoom {
  return { freeSlots: slots, freeTokens: memoryTokens * MAX_MEMORY_SHARE };
}

/** The candidates on which `taken` leaves the kept places free. */
function keeping(
  candidates: readonly Candidate[],
  taken: Taken,
  engine: EngineCapacity,
  kept: readonly KeptPlaces[],
): readonly Candidate[] {
  if (kept.length === 0) return candidates;
  // An engine at its rate limit has room for nobody.
  const admitting = candidates.filter(({ delayMs }) => delayMs === 0);
  const { freeSlots, freeTokens } = emptyRoom(engine);
  const may = keepersOf(admitting.map(({ load }) => ({
    freeSlots: freeSlots - load.running,
    freeTokens: freeTokens - load.memoryTokens - load.standby,
  })), taken, kept);
  return admitting.filter((_, index) => may[index]);
}

/** The engines that may take a new run of a call. */
export function rankedEngines(
  call: RankedCall,
  candidates: readonly Candidate[],
  run: RunDemand,
  engine: EngineCapacity,
  { uses: { ranks, ownPart }, scheduler }: RankContext,
): RankedCandidates {
  const { service: { name }, priority } = call;
  const tokens = requiredMemory(run);
  ranks.arrived(call, name, priority, tokens, scheduler.now());
  const empty = candidates.filter(({ delayMs }) => delayMs === 0).map(() => emptyRoom(engine));
  const kept = ranks.reserve(name, priority, empty, engine.standby ? 2 : 1, scheduler.now());
  const used = candidates.reduce((sum, { server: { ownLoad } }) => (
    sum + ownLoad.memoryTokens + ownLoad.standby), 0);
  const capacity = candidates.length * emptyRoom(engine).freeTokens;
  const isWithin = ownPart.mayTake(requiredRoom(run, engine), used, capacity);
  return {
    candidates: isWithin ? keeping(candidates, { slots: 1, tokens }, engine, kept) : [],
    kept,
    isWithin,
  };
}

/**
 * The engines that may take the standby copy of a new run on `primary`. A copy takes no slot, and
 * none of the places that are kept: a run of an urgent rank comes before a copy of another one.
 */
export function rankedStandbys(
  candidates: readonly Candidate[],
  primary: Candidate,
  run: RunDemand,
  engine: EngineCapacity,
  kept: readonly KeptPlaces[],
): readonly Candidate[] {
  const tokens = requiredMemory(run);
  const own = { ...NO_LOAD, running: 1, memoryTokens: tokens };
  const placed = candidates.map((candidate) => (candidate === primary
    ? { ...candidate, load: addLoad(candidate.load, own) } : candidate));
  return keeping(placed, { slots: 0, tokens }, engine, kept);
}

export function keptFields(
  { priority }: RankedCall,
  { kept, isWithin }: RankedCandidates,
): LogFields {
  return {
    rank: priority,
    isolated: !isWithin,
    kept_places: kept.map(({ count, tokens }) => `${count}x${Math.round(tokens)}`).join(','),
  };
}
