/**
 * A daemon's knowledge of the others: a record for each member, the entries that each member has
 * published, and how far each neighbour is up to date. All of it is soft state, which a daemon that
 * restarts learns again from any peer.
 *
 * Every change that a daemon makes or accepts gets the next number of its own sequence. A neighbour
 * acknowledges the highest number it has received, so that a message contains only later changes,
 * and none that came from that neighbour.
 */
import type { ListedInstance, Member, MemberState } from './instances.js';
import type { EntryMessage, RecordMessage } from './message.js';
import { NO_SIZES } from './bandwidth.js';
import type { Sizes } from './bandwidth.js';

/** Bookkeeping for every item that is passed on to peers. */
interface Replicated {
  /** This daemon's sequence number of the last change. */
  readonly sequence: number;
  /** Peers known to have this version, up to a limit. */
  readonly holders: readonly string[];
}

export interface MemberRecord extends RecordMessage, Replicated {
  /** When the condition was learned, or when a suspect was last heard from. */
  readonly since: number;
}

export interface Entry extends EntryMessage, Replicated {
  /** Length of the entry's JSON. */
  readonly size: number;
  readonly changedAt: number;
}

/** Progress of the state exchange with one neighbour. */
export interface Progress {
  /** The neighbour's incarnation; a new one starts from 0 again. */
  readonly incarnation: number;
  /** The highest of the neighbour's sequence numbers that this daemon has received. */
  readonly received: number;
  /** The highest of this daemon's sequence numbers that the neighbour has acknowledged. */
  readonly acked: number;
}

/** The indirect probes of a member that didn't answer; `outstanding` counts the open ones. */
export interface IndirectProbe {
  readonly outstanding: number;
}

export interface State {
  readonly self: string;
  readonly sequence: number;
  readonly records: ReadonlyMap<string, MemberRecord>;
  readonly entries: ReadonlyMap<string, Entry>;
  readonly sizes: Sizes;
  /** This daemon's sequence number of the last change of an urgent entry. */
  readonly urgentSequence: number;
  readonly progress: ReadonlyMap<string, Progress>;
  readonly indirectProbes: ReadonlyMap<string, IndirectProbe>;
  readonly listed: ReadonlyMap<string, ListedInstance>;
  /** The latest unpublished value of each key that waits for its interval. */
  readonly pending: ReadonlyMap<string, unknown>;
  /** Version of this daemon's most recently published entry. */
  readonly version: number;
  /**
   * Local health, 0 when healthy. Increases while relays don't answer this daemon, and lengthens
   * its suspicion timeout, so that a daemon with a bad network doesn't declare others dead.
   */
  readonly healthScore: number;
  readonly lastTickAt: number;
  /** When this daemon last detected that it had been paused. */
  readonly resumedAt: number;
  /** When any peer was last heard from; the start time if none was. */
  readonly lastContactAt: number;
}

/** The identity under which this daemon joins. */
export interface Identity {
  readonly name: string;
  readonly zone: string;
  readonly peerAddress: string;
  readonly incarnation: number;
}

/** The soft-state key under which each daemon publishes its configuration's revision. */
export const CONFIGURATION_KEY = 'configuration';

/** Prefixes of the keys whose changes are sent at once, without waiting for the next period. */
const URGENT_PREFIXES = [CONFIGURATION_KEY, 'leaving/'];

const CONDITION_RANK = { alive: 0, suspect: 1, dead: 2 } as const;

export function entryId(origin: string, key: string): string {
  return `${origin}\n${key}`;
}

export function isUrgent(key: string): boolean {
  return URGENT_PREFIXES.some((prefix) => key.startsWith(prefix));
}

export function initialState(identity: Identity, now: number): State {
  const record: MemberRecord = {
    ...identity,
    refutation: 0,
    condition: 'alive',
    leaving: false,
    sequence: 1,
    holders: [],
    since: now,
  };
  return {
    self: identity.name,
    sequence: 1,
    records: new Map([[identity.name, record]]),
    entries: new Map(),
    sizes: NO_SIZES,
    urgentSequence: 0,
    progress: new Map(),
    indirectProbes: new Map(),
    listed: new Map(),
    pending: new Map(),
    version: 0,
    healthScore: 0,
    lastTickAt: now,
    resumedAt: now,
    lastContactAt: now,
  };
}

export function ownRecord(state: State): MemberRecord {
  return state.records.get(state.self)!;
}

/** Positive if `left` supersedes `right` as the record of the same member. */
export function compareRecords(left: RecordMessage, right: RecordMessage): number {
  return left.incarnation - right.incarnation
    || left.refutation - right.refutation
    || CONDITION_RANK[left.condition] - CONDITION_RANK[right.condition];
}

export function recordMessage(record: MemberRecord): RecordMessage {
  const {
    name, zone, peerAddress, incarnation, refutation, condition, leaving,
  } = record;
  return {
    name, zone, peerAddress, incarnation, refutation, condition, leaving,
  };
}

export function entryMessage(entry: Entry): EntryMessage {
  const {
    origin, incarnation, key, version, value,
  } = entry;
  return value === undefined
    ? {
      origin, incarnation, key, version,
    }
    : {
      origin, incarnation, key, version, value,
    };
}

function revisionOf(state: State, name: string): number {
  const value = state.entries.get(entryId(name, CONFIGURATION_KEY))?.value;
  if (typeof value !== 'object' || value === null || !('revision' in value)) return 0;
  return typeof value.revision === 'number' ? value.revision : 0;
}

function memberState(state: State, record: MemberRecord): MemberState {
  if (record.condition === 'dead') return 'dead';
  if (record.leaving || state.listed.get(record.name)?.state === 'leaving') return 'leaving';
  return record.condition;
}

/** The members that are not dead, including this daemon, sorted by name. */
export function membersOf(state: State): readonly Member[] {
  return [...state.records.values()]
    .filter((record) => record.condition !== 'dead')
    .map((record) => ({
      name: record.name,
      zone: record.zone,
      peerAddress: record.peerAddress,
      incarnation: record.incarnation,
      state: memberState(state, record),
      revision: revisionOf(state, record.name),
    }))
    .sort((left, right) => (left.name < right.name ? -1 : 1));
}
