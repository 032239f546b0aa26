/**
 * Group membership as a pure state machine, in the manner of SWIM with suspicion and local health.
 * In each period a daemon exchanges heartbeats with its neighbours and from time to time with
 * another, random member. A member that doesn't answer is probed indirectly, through other members,
 * before it becomes suspect. A suspect that doesn't refute the suspicion before a timeout is
 * declared dead. The random member may be a dead one that the platform still lists, so that a
 * partition heals.
 *
 * A daemon that detects that it was itself paused restarts the timeout of every suspect, and
 * ignores failures of exchanges that began before the pause.
 */
import type { Random } from '../common/random.js';
import type { ListedInstance } from './instances.js';
import {
  periodicExchanges, neighbourExchanges, urgentExchanges, presentPeers, sample,
} from './exchange.js';
import type { Exchange } from './exchange.js';
import {
  mergeHeartbeat, plainHeartbeat, setRecord, syncHeartbeat,
} from './merge.js';
import { PROTOCOL } from './message.js';
import type { Heartbeat, PeerAnswer, Probe } from './message.js';
import { publishDue, publishNow } from './publication.js';
import { isUrgent, ownRecord, recordMessage } from './state.js';
import type { State } from './state.js';

export const PERIOD_MS = 1_000;
export const EXCHANGE_DEADLINE_MS = 500;
/** Covers the relay's own exchange with the target, and the round trip to the relay. */
export const PROBE_DEADLINE_MS = 1_000;

const SUSPICION_TIMEOUT_MS = 3_000;
const MAX_HEALTH_SCORE = 3;
/** A tick that is late by at least this much means that the daemon was paused. */
const PAUSE_THRESHOLD_MS = 500;
const PROBE_RELAYS = 2;
const DEAD_RETENTION_MS = 600_000;

export type Event = | { readonly kind: 'tick' }
  /** The platform's instance list was read. */
  | { readonly kind: 'listed'; readonly instances: readonly ListedInstance[] }
  /** A peer's heartbeat arrived; the transaction's `reply` is the answer to it. */
  | { readonly kind: 'received'; readonly heartbeat: Heartbeat }
  | { readonly kind: 'answered'; readonly peer: string; readonly answer: PeerAnswer }
  | { readonly kind: 'lost'; readonly peer: string; readonly sentAt: number }
  /** The outcome of an indirect probe; `reached` is undefined if the relay didn't answer. */
  | { readonly kind: 'probed';
    readonly target: string;
    readonly reached: boolean | undefined;
    readonly sentAt: number; }
  | { readonly kind: 'publish'; readonly key: string; readonly value: unknown }
  | { readonly kind: 'leave' };

export type Effect = | Exchange
  | { readonly kind: 'probe';
    readonly relay: string;
    readonly peerAddress: string;
    readonly message: Probe; }
  | { readonly kind: 'condition';
    readonly name: string;
    readonly condition: 'alive' | 'suspect' | 'dead';
    readonly reason: string; }
  | { readonly kind: 'resumed'; readonly pausedMs: number };

export interface Transaction {
  readonly state: State;
  readonly effects: readonly Effect[];
  /** The answer to a `received` heartbeat. */
  readonly reply?: Heartbeat;
}

export interface Context { readonly now: number; readonly random: Random }

function suspicionTimeoutMs(state: State): number {
  const sizeFactor = Math.max(1, Math.log10(state.records.size));
  return SUSPICION_TIMEOUT_MS * sizeFactor * (1 + state.healthScore);
}

/** Declares timed-out suspects dead and drops the records of dead members no longer listed. */
function expire(state: State, now: number): Transaction {
  const effects: Effect[] = [];
  let next = state;
  state.records.forEach((record) => {
    const elapsed = now - record.since;
    if (record.condition === 'suspect' && elapsed >= suspicionTimeoutMs(state)) {
      const dead = { ...recordMessage(record), condition: 'dead' as const };
      next = setRecord(next, dead, state.self, now);
      effects.push({
        kind: 'condition', name: record.name, condition: 'dead', reason: 'suspicion_expired',
      });
    }
    const listed = state.listed.has(record.name);
    if (record.condition === 'dead' && !listed && elapsed >= DEAD_RETENTION_MS) {
      const records = new Map(next.records);
      records.delete(record.name);
      const progress = new Map(next.progress);
      progress.delete(record.name);
      next = { ...next, records, progress };
    }
  });
  return { state: next, effects };
}

function detectPause(state: State, now: number): Transaction {
  const pausedMs = now - state.lastTickAt - PERIOD_MS;
  if (pausedMs < PAUSE_THRESHOLD_MS) return { state, effects: [] };
  const records = new Map([...state.records].map(([name, record]) => (
    [name, record.condition === 'suspect' ? { ...record, since: now } : record] as const
  )));
  const next: State = {
    ...state, records, indirectProbes: new Map(), resumedAt: now,
  };
  return { state: next, effects: [{ kind: 'resumed', pausedMs }] };
}

function tick(state: State, { now, random }: Context): Transaction {
  const resumed = detectPause(state, now);
  const expired = expire({ ...resumed.state, lastTickAt: now }, now);
  const next = publishDue(expired.state, now);
  return {
    state: next,
    effects: [...resumed.effects, ...expired.effects, ...periodicExchanges(next, random)],
  };
}

/**
 * Records that `peer` was heard from. This restarts a suspect's timeout: it is alive, even if its
 * answers to this daemon get lost.
 */
function recordContact(state: State, peer: string, now: number): State {
  const indirectProbes = new Map(state.indirectProbes);
  indirectProbes.delete(peer);
  const record = state.records.get(peer);
  const records = record?.condition === 'suspect'
    ? new Map(state.records).set(peer, { ...record, since: now })
    : state.records;
  return {
    ...state, records, indirectProbes, lastContactAt: now,
  };
}

function received(state: State, heartbeat: Heartbeat, { now }: Context): Transaction {
  const merged = recordContact(mergeHeartbeat(state, heartbeat, now), heartbeat.sender.name, now);
  const peer = heartbeat.sender.name;
  const reply = heartbeat.sync
    ? syncHeartbeat(merged, peer, PROTOCOL)
    : plainHeartbeat(merged, peer, PROTOCOL);
  return { state: merged, effects: urgentExchanges(state, merged), reply };
}

function answered(state: State, peer: string, answer: PeerAnswer, { now }: Context): Transaction {
  const contacted = {
    ...recordContact(state, peer, now),
    healthScore: Math.max(0, state.healthScore - 1),
  };
  if (answer.kind !== 'heartbeat') return { state: contacted, effects: [] };
  const merged = mergeHeartbeat(contacted, answer, now);
  return { state: merged, effects: urgentExchanges(state, merged) };
}

function suspect(state: State, name: string, reason: string, now: number): Transaction {
  const indirectProbes = new Map(state.indirectProbes);
  indirectProbes.delete(name);
  const record = state.records.get(name);
  if (record?.condition !== 'alive') return { state: { ...state, indirectProbes }, effects: [] };
  const message = { ...recordMessage(record), condition: 'suspect' as const };
  return {
    state: { ...setRecord(state, message, state.self, now), indirectProbes },
    effects: [{
      kind: 'condition', name, condition: 'suspect', reason,
    }],
  };
}

/** Handles a failed exchange by asking other members to probe the peer. */
function lost(state: State, peer: string, sentAt: number, { now, random }: Context): Transaction {
  const record = state.records.get(peer);
  if (sentAt < state.resumedAt || now - state.lastTickAt >= PERIOD_MS + PAUSE_THRESHOLD_MS) {
    return { state, effects: [] };
  }
  if (
    record?.condition !== 'alive' || state.indirectProbes.has(peer)
  ) return { state, effects: [] };
  const relays = sample(presentPeers(state).filter((name) => name !== peer), PROBE_RELAYS, random);
  if (relays.length === 0) return suspect(state, peer, 'no_answer', now);
  const { name, incarnation } = ownRecord(state);
  const message: Probe = {
    kind: 'probe',
    protocol: PROTOCOL,
    sender: { name, incarnation },
    target: peer,
    peerAddress: record.peerAddress,
  };
  const indirectProbes = new Map(state.indirectProbes).set(peer, { outstanding: relays.length });
  return {
    state: { ...state, indirectProbes },
    effects: relays.map((relay) => ({
      kind: 'probe', relay, peerAddress: state.records.get(relay)!.peerAddress, message,
    })),
  };
}

function probed(state: State, event: Extract<Event, { kind: 'probed' }>, now: number): Transaction {
  const { target, reached } = event;
  const pendingProbe = state.indirectProbes.get(target);
  if (!pendingProbe || event.sentAt < state.resumedAt) return { state, effects: [] };
  const indirectProbes = new Map(state.indirectProbes);
  if (reached === true) {
    indirectProbes.delete(target);
    return { state: { ...state, indirectProbes }, effects: [] };
  }
  // A relay that doesn't answer suggests a fault of this daemon's own network.
  const healthScore = reached === undefined
    ? Math.min(MAX_HEALTH_SCORE, state.healthScore + 1)
    : state.healthScore;
  indirectProbes.set(target, { outstanding: pendingProbe.outstanding - 1 });
  const next = { ...state, indirectProbes, healthScore };
  if (pendingProbe.outstanding > 1) return { state: next, effects: [] };
  return suspect(next, target, 'no_answer_through_others', now);
}

/** Stores the list as a source of peers to contact; it neither adds nor removes members. */
function seed(state: State, instances: readonly ListedInstance[]): Transaction {
  const others = instances.filter((instance) => instance.name !== state.self);
  const next = { ...state, listed: new Map(others.map((item) => [item.name, item])) };
  return { state: next, effects: [] };
}

function publish(state: State, key: string, value: unknown, { now }: Context): Transaction {
  const queued = { ...state, pending: new Map(state.pending).set(key, value) };
  const next = isUrgent(key) ? publishNow(queued, key, value, now) : publishDue(queued, now);
  return { state: next, effects: urgentExchanges(state, next) };
}

function leave(state: State, now: number): Transaction {
  const own = ownRecord(state);
  if (own.leaving) return { state, effects: [] };
  const message = { ...recordMessage(own), leaving: true, refutation: own.refutation + 1 };
  const next = setRecord(state, message, state.self, now);
  return { state: next, effects: neighbourExchanges(next) };
}

function conditionChanges(before: State, after: State): readonly Effect[] {
  if (before.records === after.records) return [];
  return [...after.records.values()].flatMap((record): readonly Effect[] => {
    const known = before.records.get(record.name);
    if (known === record || record.name === after.self) return [];
    if (known?.condition === record.condition) return [];
    return [{
      kind: 'condition', name: record.name, condition: record.condition, reason: 'reported',
    }];
  });
}

function withConditionChanges(before: State, tr: Transaction): Transaction {
  return { ...tr, effects: [...conditionChanges(before, tr.state), ...tr.effects] };
}

export function transaction(state: State, event: Event, context: Context): Transaction {
  switch (event.kind) {
    case 'tick': return tick(state, context);
    case 'listed': return seed(state, event.instances);
    case 'received': return withConditionChanges(state, received(state, event.heartbeat, context));
    case 'answered':
      return withConditionChanges(state, answered(state, event.peer, event.answer, context));
    case 'lost': return lost(state, event.peer, event.sentAt, context);
    case 'probed': return probed(state, event, context.now);
    case 'publish': return publish(state, event.key, event.value, context);
    case 'leave': return leave(state, context.now);
  }
}
