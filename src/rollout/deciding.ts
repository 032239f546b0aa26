/**
 * Which status of an order has to be written, and by which instance. The status itself is written
 * on condition of the object's revision, so that of two that decide at once one fails and takes
 * over what the other wrote; no lease is needed.
 */
import { isTerminal } from './order.js';
import type { OrderRecord, Status } from './order.js';
import { deadlineOf } from './phase.js';
import type { Phase } from './phase.js';

/** Each next instance in the order of addresses tries this much later. */
const TAKEOVER_MS = 1_500;
const RETRY_MS = 1_000;
/** Doublings of the time between two tries, so that an unavailable store is spared. */
const MAX_DOUBLINGS = 5;
/** Time for other instances to tell what they know, after a start and after a restore. */
export const HEARING_MS = 5_000;
/** An instance that tells nothing of the order holds up its completion until then. */
const SILENT_GRACE_MS = 10_000;
/** Part of the instances that one has to hear to decide without evidence of a bad version. */
const QUORUM = 0.5;

export interface Peer {
  readonly isClear: boolean;
  readonly phase: Phase;
}

/** How long the largest number of live instances counts: longer than they take to be replaced. */
const PEAK_MS = 60_000;

/** Live instances, and the most that there were lately. */
export interface Instances {
  readonly count: number;
  readonly peak: number;
  readonly peakAt: number;
}

export function countInstances(
  { peak, peakAt }: Instances,
  count: number,
  now: number,
): Instances {
  return count >= peak || now - peakAt > PEAK_MS
    ? { count, peak: count, peakAt: now } : { count, peak, peakAt };
}

/** The instances as one of them sees them. */
export interface Surroundings {
  /** Place of this instance in the order of addresses of the live ones. */
  readonly rank: number;
  /** Live instances, this one included, and the most that there were lately. */
  readonly instances: number;
  readonly peakInstances: number;
  /** Since when this instance runs, or the store was found restored. */
  readonly hearingSince: number;
}

export interface DecisionInputs extends Surroundings {
  readonly record: OrderRecord;
  readonly phase: Phase;
  /** Whether requests run at other versions, here or as other instances report. */
  readonly isClear: boolean;
  /** Undefined for live instances that tell nothing of the order. */
  readonly peers: readonly (Peer | undefined)[];
  readonly now: number;
}

function mayComplete({
  record, isClear, peers, instances, peakInstances, hearingSince, now,
}: DecisionInputs): boolean {
  const isLate = now > deadlineOf(record) + SILENT_GRACE_MS;
  const isHeard = instances > peakInstances * QUORUM || isLate;
  const areClear = peers.every((peer) => (peer ? peer.isClear : isLate));
  return isClear && areClear && isHeard && now - hearingSince >= HEARING_MS;
}

/** Whether the time is over without evidence, and no other instance has more. */
function isExpired({
  record, peers, instances, peakInstances, hearingSince, now,
}: DecisionInputs): boolean {
  const isMoving = peers.some((peer) => peer?.phase === 'moving' || peer?.phase === 'draining');
  return now >= deadlineOf(record) && !isMoving && instances > peakInstances * QUORUM
    && now - hearingSince >= HEARING_MS;
}

/** The status that the store should hold; undefined if it holds it. */
export function wantedStatus(inputs: DecisionInputs): Status | undefined {
  const { record, phase } = inputs;
  if (record.isWithdrawn || record.stored === 'missing') return undefined;
  // A status that ended the order is never replaced by another, but restored if it was lost.
  if (isTerminal(record.state)) return isTerminal(record.stored) ? undefined : record.state;
  switch (phase) {
    case 'held': return 'rolled_back';
    case 'draining':
      if (mayComplete(inputs)) return 'completed';
      break;
    case 'canary':
      if (isExpired(inputs)) return 'rolled_back';
      break;
    case 'moving':
    case 'completed':
    case 'rolled_back':
    case 'free':
      break;
  }
  return record.stored === 'new' ? 'running' : undefined;
}

/** Whether this instance writes a status now. */
export function isTurn(
  wantedSince: number,
  { triedAt, tries }: { readonly triedAt: number; readonly tries: number },
  { rank, now }: Pick<DecisionInputs, 'rank' | 'now'>,
): boolean {
  const retryMs = RETRY_MS * 2 ** Math.min(tries, MAX_DOUBLINGS);
  return now - wantedSince >= rank * TAKEOVER_MS && now - triedAt >= retryMs;
}
