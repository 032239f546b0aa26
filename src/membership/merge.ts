/**
 * Merges the state in received heartbeats, and selects the state to send to each peer. Records
 * are ordered by incarnation, refutation and condition, entries by incarnation and version, so the
 * result doesn't depend on the order in which messages arrive.
 */
import type {
  EntryMessage, Heartbeat, RecordMessage, Sync,
} from './message.js';
import { resized } from './bandwidth.js';
import {
  compareRecords, entryId, entryMessage, isUrgent, ownRecord, recordMessage,
} from './state.js';
import type {
  Entry, MemberRecord, Progress, State,
} from './state.js';

/** Limit on the JSON of the items in one message; the rest follows in the next exchange. */
const MAX_MESSAGE_BYTES = 32_768;
/** Approximate length of a record's JSON. */
const RECORD_BYTES = 150;
const MAX_HOLDERS = 8;

const NO_PROGRESS: Progress = { incarnation: 0, received: 0, acked: 0 };

function withHolder(holders: readonly string[], peer: string): readonly string[] {
  if (holders.includes(peer) || holders.length >= MAX_HOLDERS) return holders;
  return [...holders, peer];
}

/** Publishes all of this daemon's own entries again, as new versions. */
function republish(state: State, incarnation: number, now: number): State {
  const entries = new Map(state.entries);
  let { sequence, version } = state;
  state.entries.forEach((entry, id) => {
    if (entry.origin !== state.self) return;
    sequence += 1;
    version += 1;
    entries.set(id, {
      ...entry, incarnation, version, sequence, holders: [], changedAt: now,
    });
  });
  return {
    ...state, entries, sequence, version,
  };
}

/** Refutes a record that has this daemon as suspect or dead, or with a higher incarnation. */
function refute(state: State, message: RecordMessage, now: number): State {
  const own = ownRecord(state);
  const incarnation = message.incarnation > own.incarnation
    ? message.incarnation + 1
    : own.incarnation;
  const refutation = incarnation > own.incarnation ? 0 : message.refutation + 1;
  const sequence = state.sequence + 1;
  const record: MemberRecord = {
    ...own, incarnation, refutation, sequence, holders: [],
  };
  const records = new Map(state.records).set(state.self, record);
  // Peers that considered this daemon dead have dropped its entries. They get higher sequence
  // numbers than the record, so that no peer receives them before it.
  return republish({ ...state, sequence, records }, incarnation, now);
}

/** Drops the origin's entries from incarnations lower than `before`. */
function withoutEntries(state: State, origin: string, before: number): State {
  const stale = (entry: Entry) => entry.origin === origin && entry.incarnation < before;
  const dropped = [...state.entries].filter(([, entry]) => stale(entry));
  if (dropped.length === 0) return state;
  const entries = new Map(state.entries);
  dropped.forEach(([id]) => entries.delete(id));
  const sizes = dropped
    .reduce((remaining, [, { key, size }]) => resized(remaining, key, -size), state.sizes);
  return { ...state, entries, sizes };
}

/** Replaces a member's record with `message`, received from `peer` or made by this daemon. */
export function setRecord(state: State, message: RecordMessage, peer: string, now: number): State {
  const sequence = state.sequence + 1;
  const record: MemberRecord = {
    ...message, sequence, holders: peer === state.self ? [] : [peer], since: now,
  };
  const next = { ...state, sequence, records: new Map(state.records).set(message.name, record) };
  const dead = message.condition === 'dead';
  if (!dead && state.records.get(message.name)?.incarnation === message.incarnation) return next;
  return withoutEntries(next, message.name, message.incarnation + (dead ? 1 : 0));
}

function mergeRecord(state: State, message: RecordMessage, peer: string, now: number): State {
  const known = state.records.get(message.name);
  if (message.name === state.self) {
    const own = ownRecord(state);
    const refutable = message.condition !== 'alive' || message.incarnation > own.incarnation;
    const newer = compareRecords(message, { ...own, condition: 'alive' }) > 0;
    return refutable && newer ? refute(state, message, now) : state;
  }
  const order = known ? compareRecords(message, known) : 1;
  if (order > 0) return setRecord(state, message, peer, now);
  if (order < 0 || !known || known.holders.includes(peer)) return state;
  const records = new Map(state.records);
  records.set(known.name, { ...known, holders: withHolder(known.holders, peer) });
  return { ...state, records };
}

function compareEntries(left: EntryMessage, right: EntryMessage): number {
  return left.incarnation - right.incarnation || left.version - right.version;
}

function accepts(state: State, message: EntryMessage): boolean {
  if (message.origin === state.self) return false;
  const record = state.records.get(message.origin);
  if (!record) return true;
  return record.condition === 'dead'
    ? message.incarnation > record.incarnation
    : message.incarnation >= record.incarnation;
}

function mergeEntries(
  state: State,
  messages: readonly EntryMessage[],
  peer: string,
  now: number,
): State {
  if (messages.length === 0) return state;
  const entries = new Map(state.entries);
  let { sequence, sizes, urgentSequence } = state;
  messages.filter((message) => accepts(state, message)).forEach((message) => {
    const id = entryId(message.origin, message.key);
    const known = entries.get(id);
    const order = known ? compareEntries(message, known) : 1;
    if (order > 0) {
      sequence += 1;
      const size = JSON.stringify(message).length;
      sizes = resized(sizes, message.key, size - (known?.size ?? 0));
      if (isUrgent(message.key)) urgentSequence = sequence;
      entries.set(id, {
        ...message, sequence, holders: [peer], size, changedAt: now,
      });
    } else if (order === 0 && known) {
      entries.set(id, { ...known, holders: withHolder(known.holders, peer) });
    }
  });
  return {
    ...state, entries, sequence, sizes, urgentSequence,
  };
}

function mergeSync(state: State, heartbeat: Heartbeat, sync: Sync): State {
  const { name, incarnation } = heartbeat.sender;
  const known = state.progress.get(name);
  const before = known?.incarnation === incarnation ? known : { ...NO_PROGRESS, incarnation };
  const current = sync.ackIncarnation === ownRecord(state).incarnation;
  const progress: Progress = {
    incarnation,
    received: sync.from <= before.received
      ? Math.max(before.received, sync.upto)
      : before.received,
    acked: current ? sync.ack : 0,
  };
  return { ...state, progress: new Map(state.progress).set(name, progress) };
}

/** Merges everything in a peer's heartbeat. */
export function mergeHeartbeat(state: State, heartbeat: Heartbeat, now: number): State {
  const peer = heartbeat.sender.name;
  const records = heartbeat.records.reduce(
    (next, record) => mergeRecord(next, record, peer, now),
    state,
  );
  const entries = mergeEntries(records, heartbeat.entries, peer, now);
  return heartbeat.sync ? mergeSync(entries, heartbeat, heartbeat.sync) : entries;
}

interface Item { readonly sequence: number; readonly bytes: number }

interface Batch {
  readonly records: readonly MemberRecord[];
  readonly entries: readonly Entry[];
  readonly upto: number;
}

/** The changes that the peer has not acknowledged, oldest first, up to the message size limit. */
function batchFor(state: State, peer: string, acked: number): Batch {
  if (acked === state.sequence) return { records: [], entries: [], upto: acked };
  const isUnsent = (item: { sequence: number; holders: readonly string[] }) => (
    item.sequence > acked && !item.holders.includes(peer)
  );
  const records = [...state.records.values()].filter(isUnsent);
  const entries = [...state.entries.values()].filter(isUnsent);
  const items: Item[] = [
    ...records.map((record) => ({ sequence: record.sequence, bytes: RECORD_BYTES })),
    ...entries.map((entry) => ({ sequence: entry.sequence, bytes: entry.size })),
  ].sort((left, right) => left.sequence - right.sequence);
  let bytes = 0;
  const overflow = items.findIndex((item) => {
    bytes += item.bytes;
    return bytes > MAX_MESSAGE_BYTES;
  });
  // At least one item is always sent, so that an oversized one can't block the rest.
  const upto = overflow < 0 ? state.sequence : items[Math.max(0, overflow - 1)]!.sequence;
  const fits = (item: { sequence: number }) => item.sequence <= upto;
  return { records: records.filter(fits), entries: entries.filter(fits), upto };
}

/** Records in every message: the sender's own, and the receiver's so that it can refute it. */
function endpointRecords(state: State, peer: string): readonly MemberRecord[] {
  return [ownRecord(state), state.records.get(peer)].filter((record) => record !== undefined);
}

/** A heartbeat with the changes that `peer` has not acknowledged. */
export function syncHeartbeat(state: State, peer: string, protocol: number): Heartbeat {
  const progress = state.progress.get(peer) ?? NO_PROGRESS;
  const { records, entries, upto } = batchFor(state, peer, progress.acked);
  const { name, incarnation } = ownRecord(state);
  return {
    kind: 'heartbeat',
    protocol,
    sender: { name, incarnation },
    records: [...new Set([...endpointRecords(state, peer), ...records])].map(recordMessage),
    entries: entries.map(entryMessage),
    sync: {
      from: progress.acked, upto, ack: progress.received, ackIncarnation: progress.incarnation,
    },
  };
}

/** A heartbeat without state changes, which only checks that the peer answers. */
export function plainHeartbeat(state: State, peer: string, protocol: number): Heartbeat {
  const { name, incarnation } = ownRecord(state);
  return {
    kind: 'heartbeat',
    protocol,
    sender: { name, incarnation },
    records: endpointRecords(state, peer).map(recordMessage),
    entries: [],
  };
}
