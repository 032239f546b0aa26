/**
 * How often instances send each other messages, and after which silence one counts as lost. The
 * messages that an instance sends don't grow with the number of instances; the time after which
 * each hears from a given other one does. Pure functions, which tests call without a network.
 */

/** Shortest time between two full messages to the same peer. */
const MIN_FULL_INTERVAL_MS = 1_000;
/** Full messages that an instance sends each second at most, as long as nothing urgent happens. */
const FULL_PER_SECOND = 10;
/** Builds before protocol 3 count a peer as lost after 1.5 s without a message. */
const OLD_PEER_INTERVAL_MS = 300;
/** As those builds pace their messages: 120 a second, spread over the instances. */
const OLD_PEER_INTERVAL_PER_INSTANCE_MS = 1_000 / 120;
/** Two full messages are lost before a peer of a small deployment counts as lost. */
const MIN_TIMEOUT_MS = 2_500;
/** Beyond this number of instances each is heard of less often. */
const SMALL_DEPLOYMENT = 9;
/**
 * Instances tell each other of whom they heard, 12 in each full message. By calculation, word of
 * one of 300 takes 6 s to reach all others, which leaves a factor of two.
 */
const TIMEOUT_PER_INSTANCE_MS = 45;
/** Full messages of a peer that may be missed before what it told counts as outdated. */
const MISSED_MESSAGES = 4;

/** Time between two full messages to the same peer, among so many instances. */
export function fullIntervalMs(instances: number): number {
  return Math.max(MIN_FULL_INTERVAL_MS, (instances * 1_000) / FULL_PER_SECOND);
}

/** The same for a peer of an older build. */
export function oldPeerIntervalMs(instances: number): number {
  return Math.max(OLD_PEER_INTERVAL_MS, instances * OLD_PEER_INTERVAL_PER_INSTANCE_MS);
}

/** Time after which a peer of which no instance has heard counts as lost. */
export function timeoutMs(instances: number): number {
  return MIN_TIMEOUT_MS + TIMEOUT_PER_INSTANCE_MS * Math.max(0, instances - SMALL_DEPLOYMENT);
}

/** Time for which a peer's last message holds while others, but not this instance, hear of it. */
export function outdatedMs(instances: number): number {
  return Math.max(timeoutMs(instances), MISSED_MESSAGES * fullIntervalMs(instances));
}
