/** Judges a version against those in service, by route, for failures and for slow answers. */
import {
  combined, NO_ANSWERS, sum,
} from './evidence.js';
import type { Row, Side } from './evidence.js';
import { evidenceAbove, evidenceUsual, upperRate } from './sequentialtest.js';
import type { Rate } from './sequentialtest.js';

/** Classes above the median from which an answer is slow: at least 1.6 times as long. */
const SLOW_CLASSES = 2;
/** One order in some thousand is judged wrongly, over all routes and both tests. */
const BAD_EVIDENCE = Math.log(10_000);
/** One bad version in twenty that exceeds the usual rates by less than the excesses passes. */
const GOOD_EVIDENCE = Math.log(20);
/** Of all routes together. */
const EXCESS = { failures: 0.1, slowness: 0.2 };
/** Each route alone needs less evidence for a larger excess; its requests may be few. */
const ROUTE_GOOD_EVIDENCE = Math.log(4);
const ROUTE_EXCESS = { failures: 0.2, slowness: 0.3 };
/** A route with a smaller share of the requests is judged with all others together only. */
const BUSY_SHARE = 0.03;
/** Answers of the target that a route needs in about all cases. */
const FEW_ANSWERS = 15;
/** Rates that are taken for usual at least, and where no answer of another version was seen. */
const FAILURES = { floor: 0.005, unknown: 0.02 };
const SLOWNESS = { floor: 0.05, unknown: 0.2 };

/** Whether the evidence is enough to say that the version is bad, or good. */
export interface Verdict {
  readonly kind: 'open' | 'good' | 'bad';
  /** What decided, or is the strongest evidence against the version. */
  readonly cause: 'failures' | 'slowness';
  /** Undefined for all routes together. */
  readonly route: string | undefined;
  readonly rate: Rate;
  /** The usual rate that it was judged against. */
  readonly usual: number;
  /** Requests that the target has been sent, and those of all versions. */
  readonly sent: number;
  readonly allSent: number;
  /** Routes that have given enough answers of the target. */
  readonly knownRoutes: readonly string[];
}

interface Comparison {
  readonly cause: Verdict['cause'];
  readonly route: string | undefined;
  readonly rate: Rate;
  readonly usual: number;
  readonly excess: number;
  /** Evidence for a good version that is enough. */
  readonly required: number;
  readonly isBusy: boolean;
}

interface RouteTotals { readonly route: string; readonly target: Side; readonly others: Side }

export function totalsByRoute(rows: readonly Row[]): readonly RouteTotals[] {
  const totals = new Map<string, RouteTotals>();
  rows.forEach(({ route, target, others }) => {
    const known = totals.get(route) ?? { route, target: NO_ANSWERS, others: NO_ANSWERS };
    totals.set(route, {
      route,
      target: combined(known.target, target, sum),
      others: combined(known.others, others, sum),
    });
  });
  return [...totals.values()];
}

function count(times: readonly number[]): number {
  return times.reduce(sum, 0);
}

/** The class of the median, by the versions in service; undefined without an answer of theirs. */
function medianClass(times: readonly number[]): number | undefined {
  const total = count(times);
  let below = 0;
  const index = times.findIndex((each) => {
    below += each;
    return below * 2 >= total;
  });
  return total > 0 ? index : undefined;
}

function slowRate(times: readonly number[], median: number): Rate {
  return { count: count(times.slice(median + SLOW_CLASSES)), total: count(times) };
}

function comparisonsOf({ route, target, others }: RouteTotals, isBusy: boolean): Comparison[] {
  const failures = {
    cause: 'failures' as const,
    route,
    rate: { count: Math.min(target.failures, target.seen), total: target.seen },
    usual: upperRate(
      { count: Math.min(others.failures, others.seen), total: others.seen },
      FAILURES.floor,
      FAILURES.unknown,
    ),
    excess: ROUTE_EXCESS.failures,
    required: ROUTE_GOOD_EVIDENCE,
    isBusy,
  };
  const median = medianClass(others.times);
  if (median === undefined) return [failures];
  return [failures, {
    cause: 'slowness',
    route,
    rate: slowRate(target.times, median),
    usual: upperRate(slowRate(others.times, median), SLOWNESS.floor, SLOWNESS.unknown),
    excess: ROUTE_EXCESS.slowness,
    required: ROUTE_GOOD_EVIDENCE,
    isBusy,
  }];
}

/** All routes together, against the usual rate of the target's mix of routes. */
function pooled(parts: readonly Comparison[]): Comparison[] {
  return (['failures', 'slowness'] as const).flatMap((cause) => {
    const own = parts.filter((part) => part.cause === cause);
    const total = count(own.map(({ rate }) => rate.total));
    if (total === 0) return [];
    return [{
      cause,
      route: undefined,
      rate: { count: count(own.map(({ rate }) => rate.count)), total },
      usual: count(own.map(({ rate, usual }) => rate.total * usual)) / total,
      excess: EXCESS[cause],
      required: GOOD_EVIDENCE,
      isBusy: true,
    }];
  });
}

/** @param rows the evidence of all processes for one order */
export function judge(rows: readonly Row[]): Verdict {
  const totals = totalsByRoute(rows);
  const sent = count(totals.map(({ target }) => target.sent));
  const othersSent = count(totals.map(({ others }) => others.sent));
  const parts = totals.flatMap((route) => comparisonsOf(
    route,
    route.others.sent >= othersSent * BUSY_SHARE && route.target.sent + route.others.sent > 0,
  ));
  const all = [...parts, ...pooled(parts)];
  const judged = all.map((comparison) => ({
    comparison, against: evidenceAbove(comparison.rate, comparison.usual),
  })).sort((left, right) => right.against - left.against);
  const [worst] = judged;
  if (!worst) {
    return {
      kind: 'open',
      cause: 'failures',
      route: undefined,
      rate: { count: 0, total: 0 },
      usual: FAILURES.unknown,
      sent,
      allSent: sent,
      knownRoutes: [],
    };
  }
  const isGood = sent > 0 && all.filter(({ isBusy }) => isBusy).every(({
    rate, usual, excess, required,
  }) => evidenceUsual(rate, usual, excess) >= required);
  const goodOrOpen = isGood ? 'good' : 'open';
  const {
    cause, route, rate, usual,
  } = worst.comparison;
  return {
    kind: worst.against >= BAD_EVIDENCE ? 'bad' : goodOrOpen,
    cause,
    route,
    rate,
    usual,
    sent,
    allSent: sent + othersSent,
    knownRoutes: totals.filter(({ target }) => target.seen >= FEW_ANSWERS)
      .map((each) => each.route),
  };
}
