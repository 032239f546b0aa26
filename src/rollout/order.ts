/**
 * An operator's order to move a service's requests to another software version, as this instance
 * knows it from the store and from other instances. Its status never reverts: `completed` and
 * `rolled_back` hold until a new order comes, also where a store that was restored from a backup
 * says otherwise.
 */
import { epochOf } from '../store/epoch.js';

export const ORDER_STATES = ['new', 'running', 'completed', 'rolled_back'] as const;

/** `new`: the store holds no status of the order yet. */
export type OrderState = typeof ORDER_STATES[number];
export type Status = Exclude<OrderState, 'new'>;

/** Targets of earlier orders that were not completed; the newest are remembered. */
const MAX_BARRED = 8;

export interface Order {
  readonly service: string;
  /** The software version that is to serve. */
  readonly target: string;
  readonly durationMs: number;
}

/** An order as the store or another instance tells it. */
export interface Sighting {
  readonly order: Order;
  readonly state: OrderState;
  /** Version of the order's object in the store. */
  readonly version: number;
  /** When the order came, by this instance's clock, as far as the source knows. */
  readonly bornAt: number;
  /** The number of orders that the source has seen for the service; undefined from the store. */
  readonly round: number | undefined;
  /** Whether the source has found the target to be bad. */
  readonly isBad: boolean;
  /** Whether the order was removed from the store. */
  readonly isWithdrawn: boolean;
}

export interface OrderRecord extends Omit<Sighting, 'round'> {
  readonly round: number;
  /** Version of the object when `state` was learnt. */
  readonly stateVersion: number;
  /** What the store says, which may be behind `state` after a restore. */
  readonly stored: OrderState | 'missing';
  /** Since when the target is known to be bad. */
  readonly badAt: number | undefined;
  /** Targets of earlier orders that were not completed. */
  readonly barred: readonly string[];
}

export type OrderFinding = 'changed' | 'withdrawn' | 'contradicted' | 'restored' | 'repeated';

export interface Sighted {
  readonly record: OrderRecord;
  readonly finding?: OrderFinding;
}

export function isTerminal(state: OrderState): state is 'completed' | 'rolled_back' {
  return state === 'completed' || state === 'rolled_back';
}

/** Tells the evidence for one order from that for another of the same service. */
export function evidenceKey({ order, round }: Pick<OrderRecord, 'order' | 'round'>): string {
  return `${round}/${order.target}`;
}

function isSameOrder(left: Order, right: Order): boolean {
  return left.target === right.target && left.durationMs === right.durationMs;
}

function begun(
  sighting: Sighting,
  round: number,
  barred: readonly string[],
  now: number,
): OrderRecord {
  return {
    ...sighting,
    round,
    stateVersion: sighting.version,
    stored: sighting.state,
    badAt: sighting.isBad ? now : undefined,
    barred: barred.filter((version) => version !== sighting.order.target).slice(-MAX_BARRED),
  };
}

/** The order that follows another one; its target stays barred unless it was completed. */
function succeeded(known: OrderRecord, sighting: Sighting, now: number): OrderRecord {
  const barred = known.state === 'completed' ? [] : [...known.barred, known.order.target];
  return begun(sighting, Math.max(known.round + 1, sighting.round ?? 0), barred, now);
}

/** Whether the store holds a new order of the same content as one that has ended. */
function isRepeated(known: OrderRecord, { state, version }: Sighting): boolean {
  // A store loses a status only when it is restored, which raises the epoch.
  return isTerminal(known.state) && state === 'new' && version > known.stateVersion
    && epochOf(version) === epochOf(known.stateVersion);
}

function mergedState(known: OrderRecord, { state, version }: Sighting): Sighted {
  if (isTerminal(known.state)) {
    if (state === known.state || !isTerminal(state)) return { record: known };
    return { record: known, finding: 'contradicted' };
  }
  return isTerminal(state) || (known.state === 'new' && state === 'running')
    ? { record: { ...known, state, stateVersion: version } } : { record: known };
}

/** Merges what is told of an order whose content is known. */
function merged(known: OrderRecord, sighting: Sighting, isStore: boolean, now: number): Sighted {
  const {
    version, bornAt, isBad, isWithdrawn, state,
  } = sighting;
  // A removal may have the same version as the last change.
  const isRemoved = version > known.version ? isWithdrawn
    : known.isWithdrawn || (isWithdrawn && version === known.version);
  const { record, finding } = mergedState(known, sighting);
  const next: OrderRecord = {
    ...record,
    bornAt: Math.min(known.bornAt, bornAt),
    version: Math.max(known.version, version),
    stored: version > known.version || (isStore && version === known.version)
      ? state : known.stored,
    isWithdrawn: isRemoved,
    isBad: known.isBad || isBad,
    badAt: known.badAt ?? (isBad ? now : undefined),
  };
  const isRestored = isStore && isTerminal(next.state) && next.stored !== next.state
    && known.stored !== next.stored;
  return { record: next, finding: finding ?? (isRestored ? 'restored' : undefined) };
}

/** Takes in what the store (`round` undefined) or another instance tells of an order. */
export function sighted(
  known: OrderRecord | undefined,
  sighting: Sighting,
  now: number,
): Sighted {
  const { order, round, version } = sighting;
  if (!known) return { record: begun(sighting, round ?? 0, [], now) };
  if (!isSameOrder(known.order, order)) {
    return version > known.version
      ? { record: succeeded(known, sighting, now), finding: 'changed' } : { record: known };
  }
  if (round === undefined) {
    return isRepeated(known, sighting)
      ? { record: succeeded(known, sighting, now), finding: 'repeated' }
      : merged(known, sighting, true, now);
  }
  if (round < known.round) return { record: known };
  if (round > known.round) {
    const barred = [...known.barred, ...isTerminal(known.state) ? [known.order.target] : []];
    return { record: begun(sighting, round, barred, now), finding: 'repeated' };
  }
  return merged(known, sighting, false, now);
}

/** The store holds the order no longer. */
export function withdrawn(known: OrderRecord, version: number): Sighted {
  // A store that was restored has lost what came since; the order goes on without it.
  if (epochOf(version) !== epochOf(known.version)) {
    return { record: { ...known, version, stored: 'missing' }, finding: 'restored' };
  }
  if (version < known.version || known.isWithdrawn) return { record: known };
  const record = { ...known, version, isWithdrawn: true };
  return isTerminal(known.state) ? { record } : { record, finding: 'withdrawn' };
}
