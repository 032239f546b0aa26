/**
 * What one daemon knows of the others: a record for each member, the shared state each member has
 * published, and how far each neighbour has been told. All of it is soft: a daemon that starts
 * learns it again from any peer.
 *
 * Every change that a daemon makes or accepts takes the next number of its own sequence. A
 * neighbour acknowledges the number up to which it was told, so that a message carries only what
 * changed since, without what came from that neighbour.
 */
import type { ListedInstance, Member, MemberState } from './instances.js';
import type { EntryMessage, RecordMessage } from './message.js';
import { NO_SIZES } from './parts.js';
import type { Sizes } from './parts.js';

/** What is remembered of each thing that is passed on. */
interface Replicated {
  /** This daemon's sequence number of the last change. */
  readonly sequence: number;
  /** Peers known to have this version already. */
  readonly holders: readonly string[];
}

export interface MemberRecord extends RecordMessage, Replicated {
  /** When the condition was learned, or the suspect was last heard from. */
  readonly since: number;
}

export interface Entry extends EntryMessage, Replicated {
  /** Length of the entry's JSON. */
  readonly size: number;
  readonly changedAt: number;
}

/** How far the exchange with one neighbour has come. */
export interface Progress {
  /** The neighbour's incarnation; a new one starts again from 0. */
  readonly incarnation: number;
  /** The neighbour's sequence number up to which this daemon was told. */
  readonly received: number;
  /** This daemon's sequence number up to which the neighbour was told. */
  readonly acked: number;
}

/** A member that didn't answer, while others are asked to try it. */
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
  /** Values that wait for their turn to be published; the latest for each key. */
  readonly pending: ReadonlyMap<string, unknown>;
  /** Version of this daemon's latest entry. */
  readonly version: number;
  /** Grows while this daemon's own exchanges fail, so that it is slower to accuse others. */
  readonly healthScore: number;
  readonly lastTickAt: number;
  /** When this daemon last noticed that it had been paused. */
  readonly resumedAt: number;
  /** When any peer was last heard from; the start when none was. */
  readonly lastContactAt: number;
}

/** The address of this daemon and how it starts. */
export interface Identity {
  readonly name: string;
  readonly zone: string;
  readonly peerAddress: string;
  readonly incarnation: number;
}

/** The soft-state key under which each daemon publishes its configuration's revision. */
export const CONFIGURATION_KEY = 'configuration';

/** Keys whose changes don't wait for the next period. */
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

/** Positive when `left` is later word on the member than `right`. */
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

/** The members that are not dead, this daemon included, ordered by name. */
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
