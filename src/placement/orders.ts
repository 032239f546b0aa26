/**
 * The orders that the lease's holder has sent, until a report shows what became of them. An order
 * whose answer is lost is never sent again blindly: the engine is given nothing until the order
 * can no longer take effect and a later report has been read. The book belongs to one holding of
 * the lease and is begun anew with the next.
 */
import type { Placement } from '../configuration/configuration.js';
import type { EngineView } from '../engines/directory.js';
import type { OrderOutcome } from '../engines/engine.js';
import { copyName } from './inventory.js';
import type { Decision, EngineState } from './inventory.js';

const MILLISECONDS_PER_MINUTE = 60_000;
/** How long an engine that refused an order is left alone. */
const REFUSED_PAUSE_MS = 10_000;
/** A report older than this says nothing of an engine. */
const REPORT_AGE_MS = 5_000;
/** How far an engine's report lags behind what the engine does. */
const REPORT_LAG_MS = 1_000;

export interface SentOrder {
  readonly decision: Decision;
  /** Time from which a report shows whether the order took effect. */
  readonly shownFrom: number;
  /** Time from which the engine may be given another order. */
  readonly freeFrom: number;
  readonly answered: boolean;
}

export interface OrderBook {
  /** Reports from before this don't count: an earlier holder may have changed the engine since. */
  readonly begunAt: number;
  readonly sent: ReadonlyMap<string, SentOrder>;
  /** The next load may start then. */
  readonly nextLoadAt: number;
}

function loadSpacingMs({ loadsPerMinute }: Placement): number {
  return MILLISECONDS_PER_MINUTE / loadsPerMinute;
}

/** The load that an earlier holder may have started last counts as one of this book's. */
export function bookOf(placement: Placement, now: number): OrderBook {
  return { begunAt: now, sent: new Map(), nextLoadAt: now + loadSpacingMs(placement) };
}

function isLoad({ order }: Decision): boolean {
  return order.kind === 'load' || order.kind === 'load_adapter';
}

/** Notes that an order is being sent, which may take effect for `validForMs`. */
export function orderSent(
  book: OrderBook,
  decision: Decision,
  validForMs: number,
  placement: Placement,
  now: number,
): OrderBook {
  const sent = new Map(book.sent).set(decision.server, {
    decision,
    shownFrom: now + validForMs + REPORT_LAG_MS,
    freeFrom: now + validForMs,
    answered: false,
  });
  const nextLoadAt = isLoad(decision)
    ? Math.max(book.nextLoadAt, now) + loadSpacingMs(placement)
    : book.nextLoadAt;
  return { ...book, sent, nextLoadAt };
}

/** Notes the answer; one that is lost leaves the order standing until it has run out. */
export function orderAnswered(
  book: OrderBook,
  decision: Decision,
  outcome: OrderOutcome,
  now: number,
): OrderBook {
  const known = book.sent.get(decision.server);
  if (known?.decision !== decision) return book;
  const sent = new Map(book.sent);
  switch (outcome) {
    case 'accepted':
      sent.set(decision.server, {
        ...known, shownFrom: now + REPORT_LAG_MS, freeFrom: now, answered: true,
      });
      break;
    case 'refused':
    case 'fenced':
      sent.set(decision.server, {
        ...known, shownFrom: now, freeFrom: now + REFUSED_PAUSE_MS, answered: true,
      });
      break;
    case 'unknown':
      sent.set(decision.server, { ...known, answered: true });
      break;
  }
  return { ...book, sent };
}

function isShown(sent: SentOrder, reportedAt: number): boolean {
  return reportedAt > sent.shownFrom;
}

function orderedCopies(sent: SentOrder | undefined, reportedAt: number): readonly string[] {
  if (!sent || isShown(sent, reportedAt)) return [];
  const { order } = sent.decision;
  return order.kind === 'load' ? [copyName(order.model, order.version)] : [];
}

/**
 * The engines that a plan may count on. One that doesn't check fencing numbers is left alone until
 * the orders of the holder before have run out.
 */
export function engineStates(
  book: OrderBook,
  views: readonly EngineView[],
  settledAt: number,
  now: number,
): readonly EngineState[] {
  return views.flatMap(({
    server, health, report, reportedAt,
  }): readonly EngineState[] => {
    const stale = reportedAt <= book.begunAt || now - reportedAt > REPORT_AGE_MS;
    if (!report || health === 'down' || stale) return [];
    const sent = book.sent.get(server.name);
    const unshown = sent !== undefined
      && (!sent.answered || now < sent.freeFrom || !isShown(sent, reportedAt));
    return [{
      server,
      report,
      ordered: orderedCopies(sent, reportedAt),
      busy: unshown || (!server.checksFence && reportedAt <= settledAt),
    }];
  });
}

/** Loads that may be started now, by the weight store's rate and what already loads. */
export function loadAllowance(
  book: OrderBook,
  engines: readonly EngineState[],
  placement: Placement,
  now: number,
): number {
  const loading = engines.reduce((sum, { report, ordered }) => (
    sum + new Set([...report.loading, ...ordered]).size), 0);
  if (now < book.nextLoadAt) return 0;
  return Math.min(1, Math.max(0, placement.concurrentLoads - loading));
}
