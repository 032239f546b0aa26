/** Selects the peers for heartbeat exchanges, both periodic ones and those sent at once. */
import type { Random } from '../common/random.js';
import { plainHeartbeat, syncHeartbeat } from './merge.js';
import { PROTOCOL } from './message.js';
import type { Heartbeat } from './message.js';
import { successors } from './neighbours.js';
import type { State } from './state.js';

/** Instances contacted per period that are in the platform's list but not yet members. */
const LISTED_FANOUT = 3;
/** While every member is alive, a random one is contacted once per this many periods on average. */
const RANDOM_EXCHANGE_PERIODS = 3;

/** An effect that sends a heartbeat; the peer's answer comes back as an event. */
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

/** Names of the members that are not dead, without this daemon. */
export function presentPeers(state: State): readonly string[] {
  return [...state.records.values()]
    .filter((record) => record.condition !== 'dead' && record.name !== state.self)
    .map((record) => record.name);
}

/** Picks up to `size` distinct names at random. */
export function sample(names: readonly string[], size: number, random: Random): readonly string[] {
  const remaining = [...names];
  return Array.from({ length: Math.min(size, remaining.length) }, () => (
    remaining.splice(random.integer(0, remaining.length - 1), 1)[0]!
  ));
}

/**
 * Peers to contact in addition to the neighbours: a random member, and some instances that are
 * listed but not yet members. While every member is alive, the exchanges between neighbours
 * suffice, so the random member is contacted less often.
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

/** The exchanges started at each tick. */
export function periodicExchanges(state: State, random: Random): readonly Exchange[] {
  const neighbours = successors(state.self, presentPeers(state));
  const extra = extraPeers(state, neighbours, random);
  return [
    ...neighbours.flatMap((peer) => exchangeWith(state, peer, true)),
    ...extra.flatMap((peer) => exchangeWith(state, peer, false)),
  ];
}

/** Exchanges with the neighbours only, for changes that can't wait for the next tick. */
export function neighbourExchanges(state: State): readonly Exchange[] {
  return successors(state.self, presentPeers(state))
    .flatMap((peer) => exchangeWith(state, peer, true));
}

/** Immediate exchanges if an urgent entry has changed between `before` and `after`. */
export function urgentExchanges(before: State, after: State): readonly Exchange[] {
  return after.urgentSequence > before.sequence ? neighbourExchanges(after) : [];
}
