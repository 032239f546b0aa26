/**
 * Which requests an overloaded instance admits: a level in the order of priority ranks and, within
 * a rank, of workspaces, as in DAGOR. Whole workspaces are shed, so that what is admitted of a
 * workspace is served completely; only the one at the level is admitted in part.
 */
import { hash32 } from '../common/hash.js';
import type { DemandClass } from './demand.js';

/** The class at the level. Classes before it are admitted, those after it are refused. */
export interface Cut {
  readonly rank: number;
  /** Place of the workspace among those of its rank. */
  readonly place: number;
  /** Share of the class that is admitted. */
  readonly share: number;
  /** Share of all demand that is refused. */
  readonly refused: number;
  /** Share of the demand of all ranks but the most urgent that is refused. */
  readonly refusedRoutine: number;
}

/** The order of workspaces differs from one episode and instance to the next. */
export function placeOf(workspace: string, salt: number): number {
  return hash32(workspace, salt);
}

const MOST_URGENT = 0;

/** @param perSecond units of work a second to admit; undefined if that covers the demand */
export function cutAt(
  classes: readonly DemandClass[],
  perSecond: number,
  salt: number,
): Cut | undefined {
  const ordered = classes.map((each) => ({ ...each, place: placeOf(each.workspace, salt) }))
    .sort((left, right) => left.rank - right.rank || left.place - right.place);
  const total = ordered.reduce((sum, each) => sum + each.perSecond, 0);
  if (total <= perSecond) return undefined;
  let left = perSecond;
  const at = ordered.find((each) => {
    if (each.perSecond > left) return true;
    left -= each.perSecond;
    return false;
  });
  // Rounding can leave nothing above a sum that is above it.
  if (!at) return undefined;
  const urgent = ordered.filter(({ rank }) => rank === MOST_URGENT)
    .reduce((sum, each) => sum + each.perSecond, 0);
  const routine = total - urgent;
  return {
    rank: at.rank,
    place: at.place,
    share: left / at.perSecond,
    refused: 1 - perSecond / total,
    refusedRoutine: routine > 0
      ? Math.min(1, (total - perSecond) / routine) : 1 - perSecond / total,
  };
}

/** Where a class stands against the level: `at` it, it is admitted in part. */
export function standing(cut: Cut, rank: number, place: number): 'above' | 'at' | 'below' {
  const difference = rank - cut.rank || place - cut.place;
  if (difference === 0) return 'at';
  return difference < 0 ? 'above' : 'below';
}
