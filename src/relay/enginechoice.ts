/** Chooses the engines for the next attempt of a stream, or says why none can take it. */
import type { LogFields } from '../common/log.js';
import type { AttemptPlan } from './attemptplan.js';
import type { Call } from './call.js';
import { remainingMs } from './context.js';
import type { RelayContext } from './context.js';
import { keptFields, rankedEngines, rankedStandbys } from './rankedroom.js';
import type { RankedCandidates } from './rankedroom.js';
import { releaseOf, runsRelease } from './release.js';
import type { Release } from './release.js';
import { scheduleOf } from './retryafter.js';
import type { EngineCapacity } from './routes.js';
import { capacityFields, THROTTLED_MESSAGE, throttledFields } from './routefields.js';
import {
  areAllThrottled, firstEventMs, hasCapacity, requiredMemory, requiredRoom, roomOf, selectEngine,
  selectStandby, uncachedTokens, unusableRoom,
} from './selection.js';
import type { Candidate, RunDemand } from './selection.js';
import { selectZonedEngine } from './zonedengine.js';

/** `Retry-After` unless capacity is short: about as long as an engine takes to restart. */
export const RETRY_AFTER_MS = 1_000;

export interface AttemptDemand {
  readonly run: RunDemand;
  /** Engines that have failed the request since its last event. */
  readonly exclude: readonly string[];
  /** The engine that holds a standby copy of the run's KV cache. */
  readonly copyHolder: string | undefined;
  /** What the engine has to run; undefined for a stream that has not begun. */
  readonly release: Release | undefined;
  /** Whether the call was sent to no engine yet, and its caller has no event of the stream. */
  readonly isNew: boolean;
}

export type EngineChoice =
  | {
    readonly kind: 'chosen';
    readonly plan: AttemptPlan;
    readonly chosen: Candidate;
    readonly candidates: number;
  }
  | Unplaced
  /** No engine has room for a new stream now. */
  | { readonly kind: 'full'; readonly refuse: () => Unplaced };

export interface Unplaced {
  readonly kind: 'unplaced';
  readonly message: string;
  readonly inputs: LogFields;
  readonly retryAfterMs: number;
}

/** Says why none of the allowed candidates can take the run. */
function unplaced(
  call: Call,
  candidates: readonly Candidate[],
  allowed: readonly Candidate[],
  { run, release }: AttemptDemand,
  engine: EngineCapacity,
  context: RelayContext,
  ranked: RankedCandidates | undefined,
): EngineChoice {
  const { name } = call.service;
  const {
    throttles, retrySchedules, scheduler, meter,
  } = context;
  if (areAllThrottled(allowed)) {
    meter.record({ kind: 'throttled' });
    return {
      kind: 'unplaced',
      message: THROTTLED_MESSAGE,
      inputs: throttledFields(allowed, context),
      retryAfterMs: throttles.retryAfterMs(name, allowed, remainingMs(call, context)),
    };
  }
  const inputs = capacityFields(allowed, requiredMemory(run), engine);
  if (candidates.length === 0) {
    const message = release
      ? `no engine runs software version ${release.software}` : 'no engine is up';
    return {
      kind: 'unplaced', message, inputs, retryAfterMs: RETRY_AFTER_MS,
    };
  }
  const isKept = ranked !== undefined && allowed.some((candidate) => (
    candidate.delayMs === 0 && hasCapacity(candidate, run, engine)));
  let message = 'no engine has room';
  if (isKept) {
    message = ranked.isWithin ? 'the room left is kept for other priority ranks'
      : 'the instance hears of no other and uses its part of the engines';
  }
  const refuse = (): Unplaced => {
    if (isKept) meter.record({ kind: 'kept_room', rank: call.priority });
    return {
      kind: 'unplaced',
      message,
      inputs: isKept ? { ...inputs, ...keptFields(call, ranked) } : inputs,
      retryAfterMs: retrySchedules.next(name, scheduler.now(), call.priority),
    };
  };
  return ranked ? { kind: 'full', refuse } : refuse();
}

/** Refuses a new stream of a workspace that uses more than its share of the engines' room. */
function refuseOverShare(
  { service: { name }, workspace }: Call,
  candidates: readonly Candidate[],
  run: RunDemand,
  engine: EngineCapacity,
  {
    uses, retrySchedules, scheduler, meter, fleet, peerLoads,
  }: RelayContext,
): EngineChoice | undefined {
  if (!workspace || candidates.length === 0) return undefined;
  const { capacity, inUse } = roomOf(candidates, run, engine);
  // Workspaces' use counts all runs, also those on engines that leave or can't be reached.
  const elsewhere = unusableRoom(fleet.servers, name, peerLoads, scheduler.now());
  const share = uses.share({
    service: name,
    workspace: workspace.name,
    tokens: requiredRoom(run, engine),
    capacity: capacity + elsewhere,
    inUse: inUse + elsewhere,
  });
  if (share.isWithin) return undefined;
  meter.record({ kind: 'over_share' });
  return {
    kind: 'unplaced',
    message: 'the workspace uses its share of the engines',
    inputs: {
      workspace: workspace.name,
      used_tokens: Math.round(share.used),
      share_tokens: Math.round(share.most),
      workspaces: share.workspaces,
    },
    retryAfterMs: retrySchedules.next(scheduleOf(name, workspace.name), scheduler.now()),
  };
}

/** What is chosen of the first offer of which anything is. */
export function firstOf<Offer, Chosen>(
  offers: readonly Offer[],
  choose: (offer: Offer) => Chosen | undefined,
): Chosen | undefined {
  return offers.reduce<Chosen | undefined>((chosen, offer) => chosen ?? choose(offer), undefined);
}

export function chooseEngines(
  call: Call,
  demand: AttemptDemand,
  engine: EngineCapacity,
  context: RelayContext,
): EngineChoice {
  const { fleet, scheduler, rollouts } = context;
  const {
    run, exclude, copyHolder, release, isNew,
  } = demand;
  const usable = fleet.candidates(call.service.name, [])
    .filter(({ server }) => runsRelease(server.entry, release));
  const unbound = isNew ? 'first' : 'again';
  const offers = rollouts.offers(call, usable, release ? 'bound' : unbound);
  const offered = offers.flat();
  const candidates = usable.filter((candidate) => offered.includes(candidate));
  const overShare = demand.isNew
    ? refuseOverShare(call, candidates, run, engine, context) : undefined;
  if (overShare) return overShare;
  const allowed = candidates.filter(({ server }) => !exclude.includes(server.entry.id));
  const holder = allowed.find(({ server, delayMs }) => (
    server.entry.id === copyHolder && delayMs === 0));
  const ranked = demand.isNew ? rankedEngines(call, allowed, run, engine, context) : undefined;
  const choose = (offer: readonly Candidate[]) => {
    const offeredOf = (some: readonly Candidate[]) => (
      offers.length === 1 ? some : some.filter((candidate) => offer.includes(candidate)));
    return ranked
      ? selectZonedEngine(call, offeredOf(ranked.candidates), run, engine, context)
      : selectEngine(offeredOf(allowed), run, engine, scheduler.now());
  };
  const chosen = holder ?? firstOf(offers, choose);
  if (!chosen) return unplaced(call, candidates, allowed, demand, engine, context, ranked);
  const chosenRelease = releaseOf(chosen.server.entry);
  const alike = usable.filter(({ server: { entry } }) => (
    !exclude.includes(entry.id) && runsRelease(entry, chosenRelease)));
  const roomy = ranked ? rankedStandbys(alike, chosen, run, engine, ranked.kept) : alike;
  const standby = engine.standby ? selectStandby(roomy, run, engine, chosen.server) : undefined;
  return {
    kind: 'chosen',
    chosen,
    candidates: candidates.length,
    plan: {
      server: chosen.server.entry,
      standby: standby?.server.entry,
      resumesFromCopy: holder !== undefined,
      prefillTokens: holder ? 0 : uncachedTokens(chosen.server, run),
      expectedFirstMs: firstEventMs(chosen, run),
    },
  };
}
