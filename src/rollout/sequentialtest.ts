/**
 * Sequential tests of a rate against the rate that was usual: they may be looked at after every
 * answer without raising the probability of a wrong verdict, as a fixed threshold on a ratio of few
 * answers would.
 */

/** Rates by which a bad version may exceed the usual one, as parts of the way up to 1. */
const EXCESSES = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8];
/** Two standard errors: the usual rate itself is only an estimate. */
const STANDARD_ERRORS = 2;

/** `count` of `total` answers. */
export interface Rate { readonly count: number; readonly total: number }

/** The upper bound of a rate's confidence interval (Wilson), from `floor` to 0.9. */
export function upperRate({ count, total }: Rate, floor: number, unknown: number): number {
  if (total === 0) return unknown;
  const z2 = STANDARD_ERRORS ** 2;
  const share = count / total;
  const root = Math.sqrt((share * (1 - share)) / total + z2 / (4 * total ** 2));
  const bound = (share + z2 / (2 * total) + STANDARD_ERRORS * root) / (1 + z2 / total);
  return Math.min(0.9, Math.max(floor, bound));
}

function logLikelihoodRatio({ count, total }: Rate, from: number, to: number): number {
  return count * Math.log(to / from) + (total - count) * Math.log((1 - to) / (1 - from));
}

/**
 * Logarithm of the evidence that a rate is above `usual`: the likelihood ratio averaged over
 * several alternatives. At the usual rate it ever exceeds log(1/a) with probability a at most.
 */
export function evidenceAbove(rate: Rate, usual: number): number {
  const logs = EXCESSES.map((excess) => (
    logLikelihoodRatio(rate, usual, usual + (1 - usual) * excess)));
  const top = Math.max(...logs);
  return top + Math.log(logs.reduce((all, log) => all + Math.exp(log - top), 0) / logs.length);
}

/** Logarithm of the evidence that a rate is `usual` and not higher by `excess`. */
export function evidenceUsual(rate: Rate, usual: number, excess: number): number {
  return -logLikelihoodRatio(rate, usual, usual + (1 - usual) * excess);
}
