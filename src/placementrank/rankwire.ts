/** A rank's demand as instances tell it each other. */
import { z } from 'zod';
import type { RankReport } from './ranks.js';

const COUNT = z.number().min(0).max(Number.MAX_SAFE_INTEGER);
/**
 * A service and a priority rank there: arrivals a second, mean and largest room of a request, mean
 * milliseconds in an engine, and room that the sender's runs hold.
 */
export const RANK = z.tuple([z.string(), COUNT, COUNT, COUNT, COUNT, COUNT, COUNT], z.unknown());
export type EncodedRank = z.infer<typeof RANK>;

/** Digits that a decision needs; with more, messages would change more often. */
const DIGITS = 2;

function short(value: number): number {
  return Number(value.toPrecision(DIGITS));
}

export function encodeRank({
  service, rank, perSecond, meanTokens, largeTokens, heldMs, usedTokens,
}: RankReport): EncodedRank {
  return [
    service, rank, short(perSecond), short(meanTokens), short(largeTokens), short(heldMs),
    Math.round(usedTokens),
  ];
}

export function decodeRank(
  [service, rank, perSecond, meanTokens, largeTokens, heldMs, usedTokens]: EncodedRank,
): RankReport {
  return {
    service, rank, perSecond, meanTokens, largeTokens, heldMs, usedTokens,
  };
}
