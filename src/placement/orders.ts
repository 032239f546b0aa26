/**
 * The orders that the lease's holder has sent, until a report shows what became of them. An order
 * whose answer is lost is never sent again blindly: the engine is given nothing until the order
 * can no longer take effect and a later report has been read. The book belongs to one holding of
 * the lease and is begun anew with the next.
 */
import type { Placement } from '../configuration/configuration.js';
import type { EngineView } from '../engines/directory.js';
import type { OrderOutcome } from '../engines/engine.js';
import { versionedName } from './inventory.js';
import type { Decision, EngineState } from './inventory.js';

const MILLISECONDS_PER_MINUTE = 60_000;
/** How long an engine that refused an order is left alone. */
const REFUSAL_BACKOFF_MS = 10_000;
/** A report older than this says nothing of an engine. */
const MAX_REPORT_AGE_MS = 5_000;
/** How far an engine's report lags behind what the engine does. */
const REPORT_LAG_MS = 1_000;

export interface SentOrder {
  readonly decision: Decision;
  /** Time from which a report shows whether the order took effect. */
  readonly visibleFrom: number;
  /** Time from which the engine may be given another order. */
  readonly nextOrderFrom: number;
  readonly answered: boolean;
}

export interface OutstandingOrders {
  /** Reports from before this don't count: an earlier holder may have changed the engine since. */
  readonly startedAt: number;
  readonly sent: ReadonlyMap<string, SentOrder>;
  /** The next load may start then. */
  readonly nextLoadAt: number;
}

function loadSpacingMs({ loadsPerMinute }: Placement): number {
  return MILLISECONDS_PER_MINUTE / loadsPerMinute;
}

/** The load that an earlier holder may have started last counts as one of this book's. */
export function noOutstandingOrders(placement: Placement, now: number): OutstandingOrders {
  return { startedAt: now, sent: new Map(), nextLoadAt: now + loadSpacingMs(placement) };
}

function isLoad({ order }: Decision): boolean {
  return order.kind === 'load' || order.kind === 'load_adapter';
}

/** Notes that an order is being sent, which may take effect for `validForMs`. */
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

/** Notes the answer; one that is lost leaves the order standing until it has run out. */
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
 * The engines that a plan may count on. One that doesn't check fencing numbers is left alone until
 * the orders of the holder before have run out.
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

/** Loads that may be started now, by the weight store's rate and what already loads. */
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
