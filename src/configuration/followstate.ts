/**
 * Decides which revision of the configuration is in force in a daemon, as a pure state machine.
 * Revisions come from the store and from peers. A revision replaces the one in force only if it is
 * higher and passes the checks. After a start, the first revision waits for contact with a peer, so
 * that an out-of-date copy in the store doesn't put the daemon behind the others.
 */
import type { Finding } from '../common/finding.js';
import { rendezvousOrder } from '../common/hash.js';
import { checkFolder } from './check.js';
import type { Configuration } from './configuration.js';
import { parseStored } from './stored.js';

/** How long the first revision after a start waits for contact with a peer. */
export const PEER_WAIT_MS = 3_000;

/** A valid revision with the stored text that it was read from. */
export interface Revision {
  readonly revision: number;
  readonly text: string;
  readonly configuration: Configuration;
}

export interface Rejection {
  readonly revision: number;
  readonly findings: readonly Finding[];
}

/** The revision in force at another daemon. */
export interface PeerRevision { readonly address: string; readonly revision: number }

export interface State {
  /** This daemon's name. */
  readonly name: string;
  readonly startedAt: number;
  readonly inForce: Revision | undefined;
  /** The first revision, while it waits for contact with a peer. */
  readonly pending: Revision | undefined;
  /** The highest revision that failed the checks, if it is higher than the one in force. */
  readonly rejected: Rejection | undefined;
  /** The platform lists no other instance, so there is no peer to wait for. */
  readonly alone: boolean;
  readonly peers: readonly PeerRevision[];
  /** Peers whose fetches failed; cleared when none is left to try, or when `peers` changes. */
  readonly failedPeers: readonly string[];
  /** Consecutive failed fetches. */
  readonly failures: number;
  readonly fetching: boolean;
  readonly storeContactAt: number | undefined;
  readonly peerContactAt: number | undefined;
}

export type Event =
  /** A stored text was received from the store or a peer. */
  | { readonly kind: 'offered'; readonly text: string }
  | { readonly kind: 'heard'; readonly from: 'store' | 'peer' }
  | { readonly kind: 'peers'; readonly peers: readonly PeerRevision[] }
  | { readonly kind: 'fetch_failed'; readonly address: string }
  /** A fetch succeeded or was no longer needed. */
  | { readonly kind: 'fetch_ended' }
  | { readonly kind: 'alone' }
  | { readonly kind: 'first_wait_ended' };

export type Effect =
  | { readonly kind: 'put_in_force'; readonly configuration: Configuration }
  | { readonly kind: 'reject'; readonly rejection: Rejection }
  /** `failures`: consecutive failed fetches so far. */
  | {
    readonly kind: 'fetch';
    readonly address: string;
    readonly revision: number;
    readonly failures: number;
  };

export interface Transaction { readonly state: State; readonly effects: readonly Effect[] }

export function initialState(name: string, now: number): State {
  return {
    name,
    startedAt: now,
    inForce: undefined,
    pending: undefined,
    rejected: undefined,
    alone: false,
    peers: [],
    failedPeers: [],
    failures: 0,
    fetching: false,
    storeContactAt: undefined,
    peerContactAt: undefined,
  };
}

/** The highest valid revision that the daemon has: in force, or waiting. */
export function knownRevision(state: State): number {
  return Math.max(state.inForce?.revision ?? 0, state.pending?.revision ?? 0);
}

function none(state: State): Transaction {
  return { state, effects: [] };
}

/**
 * Starts a fetch from a peer that has a higher revision, unless one is running. The order of the
 * peers depends on the daemon's name, which spreads the daemons over the peers.
 */
function fetchMissing({ state, effects }: Transaction): Transaction {
  if (state.fetching) return { state, effects };
  const known = Math.max(knownRevision(state), state.rejected?.revision ?? 0);
  const ahead = state.peers.filter((peer) => peer.revision > known);
  const untried = ahead.filter((peer) => !state.failedPeers.includes(peer.address));
  const candidates = untried.length > 0 ? untried : ahead;
  const revision = Math.max(...candidates.map((peer) => peer.revision));
  const sources = candidates.filter((peer) => peer.revision === revision);
  const address = rendezvousOrder(state.name, sources.map((peer) => peer.address))[0];
  if (address === undefined) return { state, effects };
  const { failures } = state;
  return {
    state: { ...state, fetching: true, failedPeers: untried.length > 0 ? state.failedPeers : [] },
    effects: [...effects, {
      kind: 'fetch', address, revision, failures,
    }],
  };
}

function isBehindPeers(state: State, revision: number): boolean {
  return state.peers.some((peer) => peer.revision > revision);
}

/** Whether the daemon's first revision may be put in force. */
function mayStartWith(state: State, revision: number, now: number): boolean {
  if (isBehindPeers(state, revision)) return false;
  return state.alone || state.peerContactAt !== undefined || now - state.startedAt >= PEER_WAIT_MS;
}

function putInForce(state: State, next: Revision): Transaction {
  const stillRejected = state.rejected && state.rejected.revision > next.revision;
  return {
    state: {
      ...state,
      inForce: next,
      pending: undefined,
      rejected: stillRejected ? state.rejected : undefined,
    },
    effects: [{ kind: 'put_in_force', configuration: next.configuration }],
  };
}

function reject(state: State, rejection: Rejection): Transaction {
  if (rejection.revision <= (state.rejected?.revision ?? 0)) return none(state);
  return { state: { ...state, rejected: rejection }, effects: [{ kind: 'reject', rejection }] };
}

function offer(state: State, text: string, now: number): Transaction {
  const parsed = parseStored(text);
  if (parsed.isErr()) {
    const finding: Finding = { severity: 'error', path: 'stored', message: parsed.error };
    return {
      state, effects: [{ kind: 'reject', rejection: { revision: 0, findings: [finding] } }],
    };
  }
  const { revision, files } = parsed.value;
  if (revision <= knownRevision(state) || revision === state.rejected?.revision) return none(state);
  const { configuration, findings } = checkFolder(files, revision);
  if (!configuration) return reject(state, { revision, findings });
  const next = { revision, text, configuration };
  return state.inForce || mayStartWith(state, revision, now)
    ? putInForce(state, next)
    : none({ ...state, pending: next });
}

/** Puts the pending first revision in force if it needn't wait any longer. */
function putPendingInForce(state: State, now: number): Transaction {
  const { pending } = state;
  return pending && mayStartWith(state, pending.revision, now)
    ? putInForce(state, pending)
    : none(state);
}

function recordContact(state: State, from: 'store' | 'peer', now: number): State {
  return from === 'store' ? { ...state, storeContactAt: now } : { ...state, peerContactAt: now };
}

function apply(state: State, event: Event, now: number): Transaction {
  switch (event.kind) {
    case 'offered': return offer(state, event.text, now);
    case 'heard': return putPendingInForce(recordContact(state, event.from, now), now);
    case 'peers': return putPendingInForce({ ...state, peers: event.peers, failedPeers: [] }, now);
    case 'fetch_failed': return none({
      ...state,
      fetching: false,
      failedPeers: [...state.failedPeers, event.address],
      failures: state.failures + 1,
    });
    case 'fetch_ended': return none({ ...state, fetching: false, failures: 0 });
    case 'alone': return putPendingInForce({ ...state, alone: true }, now);
    case 'first_wait_ended': return putPendingInForce(state, now);
  }
}

/** @param now scheduler time */
export function transaction(state: State, event: Event, now: number): Transaction {
  return fetchMissing(apply(state, event, now));
}

/** Milliseconds since the last contact with the store and with any peer, or since the start. */
export function timeSinceContact(state: State, now: number): { storeMs: number; peerMs: number } {
  return {
    storeMs: now - (state.storeContactAt ?? state.startedAt),
    peerMs: now - (state.peerContactAt ?? state.startedAt),
  };
}
