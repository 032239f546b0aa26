/**
 * This daemon's shares of fleet-wide limits. Each daemon publishes a row with what it holds of each
 * limit and how much it would need. A share is lowered at once. It is raised in two steps: the
 * raise is published, and takes effect when every member's row shows that it has seen it and the
 * shares that all rows hold still fit. So however late rows come, and whichever are lost, the
 * shares in effect never add up to more than the limit while the members are the same.
 *
 * A member that is not heard from keeps what it held. After `LAPSE_MS` both sides of a partition
 * cut themselves down to their part of the members, and only after `RECLAIM_MS` does a side use the
 * rest of its part.
 */

/** Part of each limit that is divided evenly and never moves, so that none is ever without any. */
const FIXED_FRACTION = 0.1;
const MOVABLE_FRACTION = 1 - FIXED_FRACTION;
/** Shares are this much larger than the demand seen, while there is enough for all. */
const HEADROOM = 1.25;
/** Changes of a share smaller than this part of the limit are left out. */
const MIN_CHANGE = 0.02;
/** After this silence a member counts as on the other side of a partition. */
const PARTITION_AFTER_MS = 6_000;
/** After this silence a member is taken to have come down to its side's part. */
const RECLAIM_AFTER_MS = 18_000;
/** A daemon that was paused this long has at most an even share until it has looked again. */
const PAUSED_MS = 2_000;
const EPSILON = 1e-9;

/** One limit as one daemon sees it; all are parts of the fleet-wide limit. */
export interface Claim {
  /** What the daemon's callers ask for; may be above 1. */
  readonly demand: number;
  readonly hold: number;
  /** The part of `hold` that is not in effect yet. */
  readonly raise: number;
}

/** Says which of an instance's rows has been seen. */
export interface RowVersion {
  readonly incarnation: number;
  readonly version: number;
}

/** What one daemon publishes. */
export interface ShareRow extends RowVersion {
  readonly instance: string;
  /** By the limit's key. */
  readonly claims: Readonly<Record<string, Claim>>;
  /** The newest row seen of each other instance. */
  readonly seen: Readonly<Record<string, RowVersion>>;
}

export interface ShareState {
  readonly row: ShareRow;
  /** All instances that may be serving, this one included. */
  readonly members: readonly string[];
  readonly rows: ReadonlyMap<string, ShareRow>;
  /** When each member was last heard from, or first listed. */
  readonly heardAt: ReadonlyMap<string, number>;
  readonly tickedAt: number;
  /** The version of the row in which the waiting raises were published. */
  readonly raisedVersion: number;
}

/** Demand for a limit, and what is in use and can't be given up. */
export interface LimitUsage { readonly demand: number; readonly inUse: number }

export type ShareEvent =
  | {
    readonly kind: 'members';
    /** All that may be serving: alive by the heartbeats, or listed by the platform. */
    readonly members: readonly string[];
    /** Those that heartbeats come from, directly or through others. */
    readonly reachable: readonly string[];
    readonly now: number;
  }
  | { readonly kind: 'row'; readonly row: ShareRow; readonly now: number }
  | {
    readonly kind: 'tick';
    readonly needs: Readonly<Record<string, LimitUsage>>;
    readonly now: number;
  };

const NO_CLAIM: Claim = { demand: 0, hold: 0, raise: 0 };

export function shareState(instance: string, incarnation: number, now: number): ShareState {
  return {
    row: {
      instance, incarnation, version: 0, claims: {}, seen: {},
    },
    members: [instance],
    rows: new Map(),
    heardAt: new Map(),
    tickedAt: now,
    raisedVersion: 0,
  };
}

function others({ members, row }: ShareState): readonly string[] {
  return members.filter((name) => name !== row.instance);
}

function silentFor({ heardAt }: ShareState, name: string, now: number): number {
  return now - (heardAt.get(name) ?? -Infinity);
}

function claimOf({ rows }: ShareState, name: string, key: string): Claim {
  return rows.get(name)?.claims[key] ?? NO_CLAIM;
}

/** What another member must be taken to hold. */
function heldBy(state: ShareState, name: string, key: string, now: number): number {
  const even = MOVABLE_FRACTION / state.members.length;
  const silent = silentFor(state, name, now);
  if (silent > RECLAIM_AFTER_MS) return even;
  const { hold } = claimOf(state, name, key);
  return silent > PARTITION_AFTER_MS ? Math.max(hold, even) : hold;
}

/** What others leave of the part that moves. */
function available(state: ShareState, key: string, now: number): number {
  return others(state).reduce(
    (rest, name) => rest - heldBy(state, name, key, now),
    MOVABLE_FRACTION,
  );
}

function hasSeen(state: ShareState, name: string, now: number): boolean {
  if (silentFor(state, name, now) > RECLAIM_AFTER_MS) return true;
  const seen = state.rows.get(name)?.seen[state.row.instance];
  return seen?.incarnation === state.row.incarnation && seen.version >= state.raisedVersion;
}

/** The share that would be right by all demands seen; those of the long silent are void. */
function target(state: ShareState, key: string, demand: number, now: number): number {
  const wanted = demand * HEADROOM;
  const sum = others(state)
    .filter((name) => silentFor(state, name, now) <= RECLAIM_AFTER_MS)
    .reduce((total, name) => total + claimOf(state, name, key).demand * HEADROOM, wanted);
  if (sum >= MOVABLE_FRACTION) return MOVABLE_FRACTION * (wanted / sum);
  return wanted + (MOVABLE_FRACTION - sum) / state.members.length;
}

/** What this daemon must come down to when members are silent, so that each side fits its part. */
function partitionBound(state: ShareState, key: string, hold: number, now: number): number {
  const silent = others(state).filter((name) => silentFor(state, name, now) > PARTITION_AFTER_MS);
  if (silent.length === 0) return hold;
  const part = MOVABLE_FRACTION * (1 - silent.length / state.members.length);
  const held = others(state).filter((name) => !silent.includes(name))
    .reduce((total, name) => total + claimOf(state, name, key).hold, hold);
  return held <= part ? hold : (hold * part) / held;
}

/** A raise gives way to that of an instance with a lower name. */
function mustYield(state: ShareState, key: string): boolean {
  return others(state).some((name) => (
    name < state.row.instance && claimOf(state, name, key).raise > 0));
}

function settled(state: ShareState, key: string, claim: Claim, now: number): Claim {
  if (claim.raise === 0) return claim;
  const free = available(state, key, now);
  const inEffect = claim.hold - claim.raise;
  const echoed = others(state).every((name) => hasSeen(state, name, now));
  if (claim.hold <= free + EPSILON) return echoed ? { ...claim, raise: 0 } : claim;
  if (!mustYield(state, key)) return claim;
  const hold = Math.max(inEffect, Math.min(claim.hold, free));
  return { ...claim, hold, raise: hold - inEffect };
}

function lowered(claim: Claim, bound: number, { demand, inUse }: LimitUsage): Claim {
  const hold = Math.min(claim.hold, Math.max(bound, Math.min(inUse, claim.hold - claim.raise)));
  return { demand, hold, raise: Math.max(0, claim.raise - (claim.hold - hold)) };
}

/** Steps one claim; a raise is only begun when the row has none waiting. */
function nextClaim(
  state: ShareState,
  key: string,
  need: LimitUsage,
  mayRaise: boolean,
  now: number,
): Claim {
  const claim = settled(state, key, state.row.claims[key] ?? NO_CLAIM, now);
  const right = target(state, key, need.demand, now);
  const bound = partitionBound(state, key, claim.hold, now);
  if (bound < claim.hold || right < claim.hold - MIN_CHANGE) {
    return lowered(claim, Math.min(bound, right), need);
  }
  const goal = Math.min(right, available(state, key, now));
  if (!mayRaise || claim.raise > 0 || goal < claim.hold + MIN_CHANGE) {
    return { ...claim, demand: need.demand };
  }
  return { demand: need.demand, hold: goal, raise: goal - claim.hold };
}

function sameClaims(
  was: Readonly<Record<string, Claim>>,
  claims: Readonly<Record<string, Claim>>,
): boolean {
  const keys = Object.keys(claims);
  return keys.length === Object.keys(was).length && keys.every((key) => {
    const before = was[key];
    const after = claims[key]!;
    return before?.hold === after.hold && before.raise === after.raise
      && before.demand === after.demand;
  });
}

function ticked(
  state: ShareState,
  needs: Readonly<Record<string, LimitUsage>>,
  now: number,
): ShareState {
  const waiting = Object.values(state.row.claims).some(({ raise }) => raise > 0);
  const claims = Object.fromEntries(Object.entries(needs)
    .map(([key, need]) => [key, nextClaim(state, key, need, !waiting, now)]));
  const next = { ...state, tickedAt: now };
  if (sameClaims(state.row.claims, claims)) return next;
  const version = state.row.version + 1;
  const raises = !waiting && Object.values(claims).some(({ raise }) => raise > 0);
  return {
    ...next,
    raisedVersion: raises ? version : state.raisedVersion,
    row: { ...state.row, claims, version },
  };
}

function isNewer(row: RowVersion, known: RowVersion | undefined): boolean {
  if (!known || row.incarnation !== known.incarnation) {
    return row.incarnation > (known?.incarnation ?? -1);
  }
  return row.version >= known.version;
}

function received(state: ShareState, row: ShareRow, now: number): ShareState {
  const { instance, incarnation, version } = row;
  if (instance === state.row.instance || !isNewer(row, state.rows.get(instance))) return state;
  return {
    ...state,
    rows: new Map(state.rows).set(instance, row),
    heardAt: new Map(state.heardAt).set(instance, now),
    row: {
      ...state.row,
      seen: { ...state.row.seen, [instance]: { incarnation, version } },
    },
  };
}

/** Members that went without a word are kept until their part may be used. */
function listed(
  state: ShareState,
  members: readonly string[],
  reachable: readonly string[],
  now: number,
): ShareState {
  const { instance } = state.row;
  const kept = others(state).filter((name) => silentFor(state, name, now) <= RECLAIM_AFTER_MS);
  const all = [...new Set([...members, ...kept, instance])].sort();
  const heardAt = new Map(all.map((name) => [
    name, reachable.includes(name) ? now : state.heardAt.get(name) ?? now,
  ]));
  const rows = new Map([...state.rows].filter(([name]) => heardAt.has(name)));
  const seen = Object.fromEntries(Object.entries(state.row.seen)
    .filter(([name]) => heardAt.has(name)));
  return {
    ...state, members: all, rows, heardAt, row: { ...state.row, seen },
  };
}

/** Applies one event; the new state's `row` is what to publish. */
export function shareTransaction(state: ShareState, event: ShareEvent): ShareState {
  switch (event.kind) {
    case 'members': return listed(state, event.members, event.reachable, event.now);
    case 'row': return received(state, event.row, event.now);
    case 'tick': return ticked(state, event.needs, event.now);
  }
}

/** The part of the limit that this daemon may use now. */
export function effectiveShare(state: ShareState, key: string, now: number): number {
  const count = state.members.length;
  const { hold, raise } = state.row.claims[key] ?? NO_CLAIM;
  const moved = hold - raise;
  const paused = now - state.tickedAt > PAUSED_MS;
  return FIXED_FRACTION / count + (paused ? Math.min(moved, MOVABLE_FRACTION / count) : moved);
}
