/** How far an order has come at one instance, and its next step. */
import type { LogFields } from '../common/log.js';
import { isTurn, wantedStatus } from './deciding.js';
import type { Peer, Surroundings } from './deciding.js';
import type { Exposure } from './exposure.js';
import type { OrderRecord, Status } from './order.js';
import { phaseOf } from './phase.js';
import type { Phase } from './phase.js';
import { judge } from './verdict.js';
import type { Verdict } from './verdict.js';

/** An instance that has just started may not have read the servers yet. */
const UNKNOWN_AFTER_MS = 5_000;

/** What a service runs. */
export interface ServiceView {
  /** Slots of the target's usable servers, and of those of other versions. */
  readonly targetSlots: number;
  readonly otherSlots: number;
  /** Requests at other versions, by way of this instance and by way of all. */
  readonly ownOthersRunning: number;
  readonly othersRunning: number;
}

export type RolloutEffect =
  | {
    readonly kind: 'write';
    readonly service: string;
    /** Version of the object on which the write is conditional. */
    readonly version: number;
    readonly status: Status;
    readonly target: string;
  }
  | {
    readonly kind: 'log';
    readonly level: 'info' | 'warn';
    readonly event: 'rollout_phase' | 'rollout_finding' | 'rollout_order';
    readonly fields: LogFields;
  };

export interface Progress {
  readonly record: OrderRecord;
  readonly phase: Phase;
  readonly verdict: Verdict;
  readonly exposure: Exposure;
  readonly movingSince: number | undefined;
  /** The longest request of the service. */
  readonly longestMs: number;
  /** Whether no request runs at another version by way of this instance, and none begins. */
  readonly isClear: boolean;
  /** The status that has to be written, and since when. */
  readonly wanted: { readonly status: Status; readonly since: number } | undefined;
  /** When this instance last tried to write it, and how often in vain. */
  readonly triedAt: number;
  readonly tries: number;
  /** Whether it was logged that no server of the service is known. */
  readonly isReported: boolean;
  /** What other instances tell of this order, by address. */
  readonly peers: ReadonlyMap<string, Peer>;
}

export interface StepInputs extends Surroundings {
  readonly view: ServiceView;
  readonly verdict: Verdict;
  /** Addresses of the other live instances. */
  readonly alive: readonly string[];
  readonly now: number;
}

export interface Step {
  readonly progress: Progress;
  readonly effects: readonly RolloutEffect[];
}

export function beginProgress(record: OrderRecord, offset: number): Progress {
  return {
    record,
    phase: 'canary',
    verdict: judge([]),
    exposure: { requests: 0, exposed: 0, offset },
    movingSince: undefined,
    longestMs: 0,
    isClear: false,
    wanted: undefined,
    triedAt: -Infinity,
    tries: 0,
    isReported: false,
    peers: new Map(),
  };
}

function rounded(value: number): number {
  return Number(value.toFixed(4));
}

function phaseLog({
  record: { order: { service, target } }, phase, verdict, longestMs,
}: Progress, before: Phase): RolloutEffect {
  return {
    kind: 'log',
    level: phase === 'held' || phase === 'rolled_back' ? 'warn' : 'info',
    event: 'rollout_phase',
    fields: {
      service,
      target,
      phase,
      before,
      verdict: verdict.kind,
      cause: verdict.cause,
      route: verdict.route ?? 'all',
      bad: verdict.rate.count,
      answers: verdict.rate.total,
      usual_rate: rounded(verdict.usual),
      sent: verdict.sent,
      all_sent: verdict.allSent,
      longest_ms: Math.round(longestMs),
    },
  };
}

/** Whether the live instances move their requests, which may have more evidence than this one. */
function arePeersMoving({ peers }: Progress, alive: readonly string[]): boolean {
  const phases = alive.map((address) => peers.get(address)?.phase);
  const moving = phases.filter((phase) => phase === 'moving' || phase === 'draining');
  return moving.length > 0 && moving.length * 2 >= alive.length;
}

/** Takes the evidence and the time into account; a bad verdict holds for the rest of the order. */
function judged(
  progress: Progress,
  {
    verdict, view, alive, now,
  }: StepInputs,
): Progress {
  const seen = { ...progress, verdict };
  const { record, longestMs, movingSince } = seen;
  const isBad = record.isBad || seen.verdict.kind === 'bad';
  const held = { ...record, isBad, badAt: record.badAt ?? (isBad ? now : undefined) };
  const isOpen = seen.verdict.kind === 'open';
  const phase = phaseOf({
    ...view,
    record: held,
    verdict: isOpen && arePeersMoving(seen, alive) ? 'good' : seen.verdict.kind,
    longestMs,
    movingSince,
    now,
  });
  return {
    ...seen,
    record: held,
    phase,
    movingSince: phase === 'moving' ? movingSince ?? now : movingSince,
    isClear: phase === 'draining' && view.ownOthersRunning === 0,
  };
}

/** Whether an order names a service of which no server is known. */
function isUnknown({ record, isReported }: Progress, { view, now }: StepInputs): boolean {
  return !isReported && view.targetSlots + view.otherSlots === 0
    && now - record.bornAt > UNKNOWN_AFTER_MS;
}

function unknownLog({ record: { order: { service, target } } }: Progress): RolloutEffect {
  return {
    kind: 'log',
    level: 'warn',
    event: 'rollout_finding',
    fields: { service, target, finding: 'no_servers' },
  };
}

export function step(before: Progress, inputs: StepInputs): Step {
  const isReported = isUnknown(before, inputs);
  const progress = judged({ ...before, isReported: before.isReported || isReported }, inputs);
  const { record, phase } = progress;
  const { view, alive, now } = inputs;
  const changed = [
    ...isReported ? [unknownLog(progress)] : [],
    ...phase === before.phase ? [] : [phaseLog(progress, before.phase)],
  ];
  const status = wantedStatus({
    ...inputs,
    record,
    phase,
    isClear: progress.isClear && view.othersRunning === 0,
    peers: alive.map((address) => progress.peers.get(address)),
  });
  if (status === undefined) {
    return { progress: { ...progress, wanted: undefined, tries: 0 }, effects: changed };
  }
  const wanted = progress.wanted?.status === status ? progress.wanted : { status, since: now };
  if (!isTurn(wanted.since, progress, inputs)) {
    return { progress: { ...progress, wanted }, effects: changed };
  }
  const { order: { service, target }, version } = record;
  return {
    progress: {
      ...progress, wanted, triedAt: now, tries: progress.tries + 1,
    },
    effects: [...changed, {
      kind: 'write', service, version, status, target,
    }],
  };
}
