/**
 * Which requests of this instance may be offered the target before it is known to be good. The
 * bound holds as a sum, since each instance keeps to a part of its own requests.
 */

/** The rest of the share is for the move, until a version that turns bad then is held. */
const CANARY_SHARE = 0.6;
/** Of the slack, whose rest is for processes that begin anew and for messages on their way. */
const SLACK_SHARE = 0.25;
/**
 * Requests go to the target in bursts of this length, which load its few servers as those in
 * service are loaded; a steady trickle would not show a version that is bad under load.
 */
const BURST_MS = 1_500;
const BURST_INTERVAL_MS = 4_000;
/** Part of the requests that a burst sends to the target, and of the servers that it loads. */
export const BURST_SHARE = 0.25;

export interface Bounds {
  /** The largest part of a service's requests that a bad version may get. */
  readonly share: number;
  /** Requests that it may get beyond. */
  readonly slack: number;
  /** A version gets nothing more after this time from the answer that shows that it is bad. */
  readonly rollbackMs: number;
}

export interface Exposure {
  /** Requests of the service that this instance has seen since it knows the order. */
  readonly requests: number;
  /** Requests that it has sent to the target. */
  readonly exposed: number;
  /**
   * From 0 to 1, drawn for each process: without it, instances with few requests would together
   * send none to the target, as none of them reaches a whole one.
   */
  readonly offset: number;
}

/**
 * Requests that this instance may still send to the target; below 1 if none.
 *
 * @param instances over which the slack is spread
 */
export function allowance(
  { requests, exposed, offset }: Exposure,
  { share, slack }: Bounds,
  instances: number,
): number {
  const slackPart = (slack * SLACK_SHARE) / Math.max(1, instances);
  return requests * share * CANARY_SHARE + Math.min(1, slack) * offset + slackPart - exposed;
}

/** @param ageMs of the order, at about the same time on all instances */
export function isBurst(ageMs: number): boolean {
  return ageMs % BURST_INTERVAL_MS < BURST_MS;
}

/**
 * @param chance from 0 to 1, drawn for the request
 * @param isRare whether the request's route has given little evidence yet
 */
export function mayExpose(
  exposure: Exposure,
  bounds: Bounds,
  instances: number,
  ageMs: number,
  chance: number,
  isRare: boolean,
): boolean {
  const isDrawn = isRare || chance < BURST_SHARE;
  return isBurst(ageMs) && isDrawn && allowance(exposure, bounds, instances) >= 1;
}

/** The servers of the target that are used, so that each is loaded like one in service. */
export function canaryServers<Server extends { readonly id: string }>(
  servers: readonly Server[],
  others: number,
  share: number,
): readonly Server[] {
  const count = Math.max(1, Math.floor(others * share));
  return [...servers].sort((left, right) => (left.id < right.id ? -1 : 1)).slice(0, count);
}
