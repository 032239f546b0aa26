/** Whom a daemon exchanges heartbeats with, and when it doesn't wait for the next period. */
import type { Random } from '../common/random.js';
import { plainHeartbeat, syncHeartbeat } from './merge.js';
import { PROTOCOL } from './message.js';
import type { Heartbeat } from './message.js';
import { successors } from './neighbours.js';
import type { State } from './state.js';

/** Members that are only listed and tried in one period. */
const LISTED_FANOUT = 3;
/** While all are alive, a random member is tried once in so many periods, on average. */
const RANDOM_EXCHANGE_PERIODS = 3;

/** A heartbeat to send; the peer's answer comes back as an event. */
export interface Exchange {
  readonly kind: 'exchange';
  readonly peer: string;
  readonly peerAddress: string;
  readonly message: Heartbeat;
}

function exchangeWith(state: State, peer: string, withState: boolean): readonly Exchange[] {
  const peerAddress = state.records.get(peer)?.peerAddress
    ?? state.listed.get(peer)?.peerAddress;
  if (peerAddress === undefined) return [];
  const message = withState
    ? syncHeartbeat(state, peer, PROTOCOL)
    : plainHeartbeat(state, peer, PROTOCOL);
  return [{
    kind: 'exchange', peer, peerAddress, message,
  }];
}

/** Members other than this daemon that are not dead. */
export function presentPeers(state: State): readonly string[] {
  return [...state.records.values()]
    .filter((record) => record.condition !== 'dead' && record.name !== state.self)
    .map((record) => record.name);
}

/** Up to `size` of `names`, each at most once. */
export function sample(names: readonly string[], size: number, random: Random): readonly string[] {
  const remaining = [...names];
  return Array.from({ length: Math.min(size, remaining.length) }, () => (
    remaining.splice(random.integer(0, remaining.length - 1), 1)[0]!
  ));
}

/**
 * Members to try beside the neighbours: one known at random, some of those only listed. While
 * nobody is missing, the neighbours see enough of each other, and the random one is tried less.
 */
function extraPeers(state: State, excluded: readonly string[], random: Random): readonly string[] {
  const known = [...state.records.keys()]
    .filter((name) => name !== state.self && !excluded.includes(name));
  const missing = [...state.records.values()].some((record) => record.condition !== 'alive');
  const size = missing || random.integer(1, RANDOM_EXCHANGE_PERIODS) === 1 ? 1 : 0;
  const listedOnly = [...state.listed.values()]
    .filter((instance) => instance.state === 'live' && !state.records.has(instance.name))
    .map((instance) => instance.name);
  return [...sample(known, size, random), ...sample(listedOnly, LISTED_FANOUT, random)];
}

/** The exchanges that one period begins with. */
export function periodicExchanges(state: State, random: Random): readonly Exchange[] {
  const neighbours = successors(state.self, presentPeers(state));
  const extra = extraPeers(state, neighbours, random);
  return [
    ...neighbours.flatMap((peer) => exchangeWith(state, peer, true)),
    ...extra.flatMap((peer) => exchangeWith(state, peer, false)),
  ];
}

/** Exchanges with the neighbours, out of turn. */
export function neighbourExchanges(state: State): readonly Exchange[] {
  return successors(state.self, presentPeers(state))
    .flatMap((peer) => exchangeWith(state, peer, true));
}

/** Exchanges at once when `after` has urgent news that `before` had not. */
export function urgentExchanges(before: State, after: State): readonly Exchange[] {
  return after.urgentSequence > before.sequence ? neighbourExchanges(after) : [];
}
