/**
 * How much work an overloaded instance admits. It begins with what the instance did while its queue
 * stood, which is what its processor bears; it is lowered quickly as long as the queue stands and
 * raised slowly otherwise, and the state ends when the demand has been below it for some time.
 */
import { INTERVAL_MS, MAX_IDLE_SHARE } from './queuedelay.js';

export type Level =
  | { readonly kind: 'normal' }
  | {
    readonly kind: 'shedding';
    readonly since: number;
    /** Units of work a second that are admitted. */
    readonly perSecond: number;
    /** It is not lowered further: what the processor bore before. */
    readonly least: number;
    readonly adjustedAt: number;
    /** Since when the demand has been below that; undefined while it is above. */
    readonly coveredSince: number | undefined;
    /** Orders the workspaces. */
    readonly salt: number;
  };

export interface LevelInput {
  readonly now: number;
  /** Whether the queue has stood for an interval. */
  readonly standing: boolean;
  /** Whether refusing requests would free a notable share of the processor. */
  readonly worthwhile: boolean;
  /** The queueing delay of late, and the longest that is wanted. */
  readonly delayMs: number;
  readonly targetMs: number;
  /** Share of the last half second in which the loop waited for input. */
  readonly idleShare: number;
  /** Units of work a second: done of late, and asked for. */
  readonly done: number;
  readonly demand: number;
  /** For the next episode. */
  readonly salt: number;
}

export const NORMAL: Level = { kind: 'normal' };

/** Half of the interval after which a queue stands: long enough to see what a change has done. */
export const ADJUST_MS = INTERVAL_MS / 2;
/** Per adjustment, at a delay of twice the target or more. */
const LOWER_SHARE = 0.08;
/** Per adjustment: 16% a second, so that a queue is noticed before it is long. */
const RAISE_SHARE = 0.04;
/** Per adjustment, if the loop is idle all the time. */
const IDLE_RAISE_SHARE = 0.1;
/** More than this times what is done is not admitted, or a lull in the demand would lift it. */
const MOST_SHARE_OF_DONE = 1.25;
/** Of the level, while a queue is being worked off. */
const LEAST_SHARE_OF_LEVEL = 0.5;
/** What the processor did under load bounds the error of many steps down. */
const LEAST_SHARE_OF_DONE = 0.6;
/** Per adjustment, in case that the processor has become less: 6% a second. */
const LEAST_LOWER_SHARE = 0.015;
/** One request in two seconds shows whether things have changed. */
const LEAST_PER_SECOND = 0.5;
/** The state outlasts the gaps between requests, and ends well within 5 s of the load. */
const COVERED_MS = 1_000;

type Rates = Pick<Extract<Level, { kind: 'shedding' }>, 'perSecond' | 'least'>;

function adjusted(
  { perSecond, least }: Rates,
  {
    delayMs, targetMs, done, idleShare,
  }: LevelInput,
): Rates {
  const excess = delayMs / targetMs - 1;
  if (excess <= 0 || idleShare > MAX_IDLE_SHARE) {
    const raised = perSecond * (1 + RAISE_SHARE + IDLE_RAISE_SHARE * idleShare);
    return {
      perSecond: Math.max(perSecond, Math.min(raised, done * MOST_SHARE_OF_DONE)),
      least: Math.max(least, done * LEAST_SHARE_OF_DONE),
    };
  }
  const lowered = perSecond * (1 - LOWER_SHARE * Math.min(1, excess));
  return {
    perSecond: Math.max(LEAST_PER_SECOND, least, lowered),
    least: least * (1 - LEAST_LOWER_SHARE),
  };
}

export function nextLevel(level: Level, input: LevelInput): Level {
  const { now, demand } = input;
  if (level.kind === 'normal') {
    if (!input.standing || !input.worthwhile) return level;
    return {
      kind: 'shedding',
      since: now,
      perSecond: Math.max(LEAST_PER_SECOND, input.done),
      least: input.done * LEAST_SHARE_OF_DONE,
      adjustedAt: now,
      coveredSince: undefined,
      salt: input.salt,
    };
  }
  if (now - level.adjustedAt < ADJUST_MS) return level;
  if (!input.worthwhile) return NORMAL;
  const rates = adjusted(level, input);
  const isCovered = demand <= rates.perSecond && input.delayMs <= input.targetMs;
  const coveredSince = isCovered ? level.coveredSince ?? now : undefined;
  if (coveredSince !== undefined && now - coveredSince >= COVERED_MS) return NORMAL;
  return {
    ...level, ...rates, adjustedAt: now, coveredSince,
  };
}

/** Units a second to admit now; less than the level allows while a queue is worked off. */
export function admitsPerSecond(
  { perSecond }: Pick<Rates, 'perSecond'>,
  { delayMs, targetMs }: Pick<LevelInput, 'delayMs' | 'targetMs'>,
): number {
  const share = delayMs > targetMs ? Math.max(LEAST_SHARE_OF_LEVEL, targetMs / delayMs) : 1;
  return Math.max(LEAST_PER_SECOND, perSecond * share);
}
