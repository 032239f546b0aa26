/**
 * The orders that the lease holder has sent and whose effect no report shows yet. An order whose
 * response is lost is never resent blindly: the engine gets no order until that one has expired and
 * a later report has been read. The state lasts for one tenure of the lease, and the next starts
 * with an empty one.
 */
import type { Placement } from '../configuration/configuration.js';
import type { EngineView } from '../engines/directory.js';
import type { OrderOutcome } from '../engines/engine.js';
import { versionedName } from './inventory.js';
import type { Decision, EngineState } from './inventory.js';

const MILLISECONDS_PER_MINUTE = 60_000;
/** How long no order is sent to an engine after it refused one. */
const REFUSAL_BACKOFF_MS = 10_000;
/** Older reports are ignored. */
const MAX_REPORT_AGE_MS = 5_000;
/** How far a report may lag behind the engine's actual state. */
const REPORT_LAG_MS = 1_000;

export interface SentOrder {
  readonly decision: Decision;
  /** Reports made after this time show whether the order took effect. */
  readonly visibleFrom: number;
  /** Time from which the engine may be given another order. */
  readonly nextOrderFrom: number;
  readonly answered: boolean;
}

export interface OutstandingOrders {
  /** Earlier reports are ignored: a previous holder may have changed the engine since. */
  readonly startedAt: number;
  readonly sent: ReadonlyMap<string, SentOrder>;
  /** Time from which the next load may start. */
  readonly nextLoadAt: number;
}

function loadSpacingMs({ loadsPerMinute }: Placement): number {
  return MILLISECONDS_PER_MINUTE / loadsPerMinute;
}

/** Delays the first load by a full interval: a previous holder may just have started one. */
export function noOutstandingOrders(placement: Placement, now: number): OutstandingOrders {
  return { startedAt: now, sent: new Map(), nextLoadAt: now + loadSpacingMs(placement) };
}

function isLoad({ order }: Decision): boolean {
  return order.kind === 'load' || order.kind === 'load_adapter';
}

/** Records that an order is being sent; it may take effect until `validForMs` have passed. */
export function withSentOrder(
  outstanding: OutstandingOrders,
  decision: Decision,
  validForMs: number,
  placement: Placement,
  now: number,
): OutstandingOrders {
  const sent = new Map(outstanding.sent).set(decision.server, {
    decision,
    visibleFrom: now + validForMs + REPORT_LAG_MS,
    nextOrderFrom: now + validForMs,
    answered: false,
  });
  const nextLoadAt = isLoad(decision)
    ? Math.max(outstanding.nextLoadAt, now) + loadSpacingMs(placement)
    : outstanding.nextLoadAt;
  return { ...outstanding, sent, nextLoadAt };
}

/** Records the outcome; with `unknown` the order stays outstanding until it has expired. */
export function withOutcome(
  outstanding: OutstandingOrders,
  decision: Decision,
  outcome: OrderOutcome,
  now: number,
): OutstandingOrders {
  const previous = outstanding.sent.get(decision.server);
  if (previous?.decision !== decision) return outstanding;
  const sent = new Map(outstanding.sent);
  switch (outcome) {
    case 'accepted':
      sent.set(decision.server, {
        ...previous, visibleFrom: now + REPORT_LAG_MS, nextOrderFrom: now, answered: true,
      });
      break;
    case 'refused':
    case 'fenced':
      sent.set(decision.server, {
        ...previous, visibleFrom: now, nextOrderFrom: now + REFUSAL_BACKOFF_MS, answered: true,
      });
      break;
    case 'unknown':
      sent.set(decision.server, { ...previous, answered: true });
      break;
  }
  return { ...outstanding, sent };
}

function isVisible(sent: SentOrder, reportedAt: number): boolean {
  return reportedAt > sent.visibleFrom;
}

function unreportedLoads(sent: SentOrder | undefined, reportedAt: number): readonly string[] {
  if (!sent || isVisible(sent, reportedAt)) return [];
  const { order } = sent.decision;
  return order.kind === 'load' ? [versionedName(order.model, order.version)] : [];
}

/**
 * The engines with a recent report. An engine that doesn't check fencing tokens gets no order until
 * it has reported after the previous holder's orders expired.
 */
export function engineStates(
  outstanding: OutstandingOrders,
  views: readonly EngineView[],
  earlierOrdersExpireAt: number,
  now: number,
): readonly EngineState[] {
  return views.flatMap(({
    server, health, report, reportedAt,
  }): readonly EngineState[] => {
    const stale = reportedAt <= outstanding.startedAt || now - reportedAt > MAX_REPORT_AGE_MS;
    if (!report || health === 'down' || stale) return [];
    const sent = outstanding.sent.get(server.name);
    const pending = sent !== undefined
      && (!sent.answered || now < sent.nextOrderFrom || !isVisible(sent, reportedAt));
    return [{
      server,
      report,
      pendingLoads: unreportedLoads(sent, reportedAt),
      orderPending: pending || (!server.checksFence && reportedAt <= earlierOrdersExpireAt),
    }];
  });
}

/** How many loads may start now, given the weight store's rate and the loads in progress. */
export function loadAllowance(
  outstanding: OutstandingOrders,
  engines: readonly EngineState[],
  placement: Placement,
  now: number,
): number {
  const loading = engines.reduce((sum, { report, pendingLoads }) => (
    sum + new Set([...report.loading, ...pendingLoads]).size), 0);
  if (now < outstanding.nextLoadAt) return 0;
  return Math.min(1, Math.max(0, placement.concurrentLoads - loading));
}
