/**
 * This daemon's shares of fleet-wide limits. Each daemon publishes a row with the share that it
 * holds of each limit and its demand. A share is lowered immediately. It is raised in two steps:
 * the raise is published, and takes effect once every member's row acknowledges it and the shares
 * held in all rows still fit the limit. However late rows arrive and whichever are lost, the
 * effective shares never add up to more than the limit as long as the membership doesn't change.
 *
 * A member that falls silent keeps its share. After `PARTITION_AFTER_MS` each side of a partition
 * lowers its shares to its fraction of the members, and only after `RECLAIM_AFTER_MS` may a side
 * raise them to the whole of that fraction.
 */

/** Fraction of each limit that is always divided evenly, so that every daemon has some share. */
const FIXED_FRACTION = 0.1;
const MOVABLE_FRACTION = 1 - FIXED_FRACTION;
/** Factor by which a share exceeds its daemon's demand while the limit suffices for all. */
const HEADROOM = 1.25;
/** Smaller changes of a share, as a fraction of the limit, aren't made. */
const MIN_CHANGE = 0.02;
/** A member silent for longer is assumed to be on the other side of a partition. */
const PARTITION_AFTER_MS = 6_000;
/** A member silent for longer is assumed to have lowered its shares to its side's fraction. */
const RECLAIM_AFTER_MS = 18_000;
/** A daemon paused for longer uses at most an even share until its next tick. */
const PAUSED_MS = 2_000;
const EPSILON = 1e-9;

/** A daemon's claim on one limit; all values are fractions of the fleet-wide limit. */
export interface Claim {
  /** Demand of the daemon's callers; may exceed 1. */
  readonly demand: number;
  readonly hold: number;
  /** The part of `hold` that isn't in effect yet. */
  readonly raise: number;
}

/** Identifies one version of an instance's row. */
export interface RowVersion {
  readonly incarnation: number;
  readonly version: number;
}

/** The row that a daemon publishes. */
export interface ShareRow extends RowVersion {
  readonly instance: string;
  /** Claims by key of the limit. */
  readonly claims: Readonly<Record<string, Claim>>;
  /** The latest row received from each other instance. */
  readonly seen: Readonly<Record<string, RowVersion>>;
}

export interface ShareState {
  readonly row: ShareRow;
  /** All instances that may be serving, including this one. */
  readonly members: readonly string[];
  readonly rows: ReadonlyMap<string, ShareRow>;
  /** When each member was last heard from or, if never, first listed. */
  readonly heardAt: ReadonlyMap<string, number>;
  readonly lastTickAt: number;
  /** The version of the row that published the pending raises. */
  readonly raisedVersion: number;
}

/** Demand for a limit, and the part in use, which can't be given up. */
export interface LimitUsage { readonly demand: number; readonly inUse: number }

export type ShareEvent =
  | {
    readonly kind: 'members';
    /** Instances that may be serving: alive according to heartbeats, or listed by the platform. */
    readonly members: readonly string[];
    /** Instances that heartbeats are received from, directly or through others. */
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
    lastTickAt: now,
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

/** The share that another member is assumed to hold. */
function assumedHold(state: ShareState, name: string, key: string, now: number): number {
  const even = MOVABLE_FRACTION / state.members.length;
  const silent = silentFor(state, name, now);
  if (silent > RECLAIM_AFTER_MS) return even;
  const { hold } = claimOf(state, name, key);
  return silent > PARTITION_AFTER_MS ? Math.max(hold, even) : hold;
}

/** The movable fraction that isn't held by other members. */
function available(state: ShareState, key: string, now: number): number {
  return others(state).reduce(
    (rest, name) => rest - assumedHold(state, name, key, now),
    MOVABLE_FRACTION,
  );
}

function hasAcknowledged(state: ShareState, name: string, now: number): boolean {
  if (silentFor(state, name, now) > RECLAIM_AFTER_MS) return true;
  const seen = state.rows.get(name)?.seen[state.row.instance];
  return seen?.incarnation === state.row.incarnation && seen.version >= state.raisedVersion;
}

/** The fair share by the demands in all rows, ignoring those of long silent members. */
function fairShareOf(state: ShareState, key: string, demand: number, now: number): number {
  const wanted = demand * HEADROOM;
  const sum = others(state)
    .filter((name) => silentFor(state, name, now) <= RECLAIM_AFTER_MS)
    .reduce((total, name) => total + claimOf(state, name, key).demand * HEADROOM, wanted);
  if (sum >= MOVABLE_FRACTION) return MOVABLE_FRACTION * (wanted / sum);
  return wanted + (MOVABLE_FRACTION - sum) / state.members.length;
}

/** Upper bound on the share while members are silent, so that each side fits its fraction. */
function partitionBound(state: ShareState, key: string, hold: number, now: number): number {
  const silent = others(state).filter((name) => silentFor(state, name, now) > PARTITION_AFTER_MS);
  if (silent.length === 0) return hold;
  const part = MOVABLE_FRACTION * (1 - silent.length / state.members.length);
  const held = others(state).filter((name) => !silent.includes(name))
    .reduce((total, name) => total + claimOf(state, name, key).hold, hold);
  return held <= part ? hold : (hold * part) / held;
}

/** Whether a pending raise has to yield to one by an instance with a lower name. */
function mustYield(state: ShareState, key: string): boolean {
  return others(state).some((name) => (
    name < state.row.instance && claimOf(state, name, key).raise > 0));
}

function resolveRaise(state: ShareState, key: string, claim: Claim, now: number): Claim {
  if (claim.raise === 0) return claim;
  const free = available(state, key, now);
  const inEffect = claim.hold - claim.raise;
  const acknowledged = others(state).every((name) => hasAcknowledged(state, name, now));
  if (claim.hold <= free + EPSILON) return acknowledged ? { ...claim, raise: 0 } : claim;
  if (!mustYield(state, key)) return claim;
  const hold = Math.max(inEffect, Math.min(claim.hold, free));
  return { ...claim, hold, raise: hold - inEffect };
}

function lowerClaim(claim: Claim, bound: number, { demand, inUse }: LimitUsage): Claim {
  const hold = Math.min(claim.hold, Math.max(bound, Math.min(inUse, claim.hold - claim.raise)));
  return { demand, hold, raise: Math.max(0, claim.raise - (claim.hold - hold)) };
}

/** Computes the next claim; a raise is started only when the row has none pending. */
function nextClaim(
  state: ShareState,
  key: string,
  usage: LimitUsage,
  mayRaise: boolean,
  now: number,
): Claim {
  const claim = resolveRaise(state, key, state.row.claims[key] ?? NO_CLAIM, now);
  const fairShare = fairShareOf(state, key, usage.demand, now);
  const bound = partitionBound(state, key, claim.hold, now);
  if (bound < claim.hold || fairShare < claim.hold - MIN_CHANGE) {
    return lowerClaim(claim, Math.min(bound, fairShare), usage);
  }
  const goal = Math.min(fairShare, available(state, key, now));
  if (!mayRaise || claim.raise > 0 || goal < claim.hold + MIN_CHANGE) {
    return { ...claim, demand: usage.demand };
  }
  return { demand: usage.demand, hold: goal, raise: goal - claim.hold };
}

function sameClaims(
  previous: Readonly<Record<string, Claim>>,
  claims: Readonly<Record<string, Claim>>,
): boolean {
  const keys = Object.keys(claims);
  return keys.length === Object.keys(previous).length && keys.every((key) => {
    const before = previous[key];
    const after = claims[key]!;
    return before?.hold === after.hold && before.raise === after.raise
      && before.demand === after.demand;
  });
}

function applyTick(
  state: ShareState,
  needs: Readonly<Record<string, LimitUsage>>,
  now: number,
): ShareState {
  const raisePending = Object.values(state.row.claims).some(({ raise }) => raise > 0);
  const claims = Object.fromEntries(Object.entries(needs)
    .map(([key, usage]) => [key, nextClaim(state, key, usage, !raisePending, now)]));
  const next = { ...state, lastTickAt: now };
  if (sameClaims(state.row.claims, claims)) return next;
  const version = state.row.version + 1;
  const raises = !raisePending && Object.values(claims).some(({ raise }) => raise > 0);
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

function applyRow(state: ShareState, row: ShareRow, now: number): ShareState {
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

/** Updates the members; one that vanished is kept until its share may be reclaimed. */
function applyMembers(
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

/** Applies an event; the new state's `row` is to be published. */
export function shareTransaction(state: ShareState, event: ShareEvent): ShareState {
  switch (event.kind) {
    case 'members': return applyMembers(state, event.members, event.reachable, event.now);
    case 'row': return applyRow(state, event.row, event.now);
    case 'tick': return applyTick(state, event.needs, event.now);
  }
}

/** The fraction of the limit that this daemon may use now. */
export function effectiveShare(state: ShareState, key: string, now: number): number {
  const count = state.members.length;
  const { hold, raise } = state.row.claims[key] ?? NO_CLAIM;
  const moved = hold - raise;
  const paused = now - state.lastTickAt > PAUSED_MS;
  return FIXED_FRACTION / count + (paused ? Math.min(moved, MOVABLE_FRACTION / count) : moved);
}
