/**
 * Divides the room of a service's engines among the workspaces that use it, max-min fair: a
 * workspace gets all that the others leave, and never less than an even part. The load that this
 * answers is one workspace that sends many times its usual: without shares it fills the room, and
 * all workspaces are refused alike.
 *
 * Pure functions over what is in use at all instances; room that is not in use is reserved for
 * nobody. A workspace that uses more than the others is refused before the room is full, so that
 * the next runs of the others find some.
 */

/** Room in use by workspace, in tokens of memory. */
export type WorkspaceUse = ReadonlyMap<string, number>;

/** Factor by which the other workspaces' use may grow before a run of the largest one ends. */
const GROWTH_FACTOR = 1.25;

export interface ShareDemand {
  readonly workspace: string;
  /** Room for one more run. */
  readonly tokens: number;
  /** Room of all engines that can be used. */
  readonly capacity: number;
  /** Room in use of which it isn't known whose it is. */
  readonly unknown: number;
}

export interface Share {
  /** Whether the workspace may have room for one more run. */
  readonly isWithin: boolean;
  /** What the workspace uses, the further run included. */
  readonly used: number;
  /** The most that it may use now. */
  readonly most: number;
  /** Workspaces that use the service, this one included. */
  readonly workspaces: number;
}

/** What is left of `capacity` for one that takes all it gets beside others with these demands. */
function maxMinShare(capacity: number, demands: readonly number[]): number {
  let left = capacity;
  let sharing = demands.length + 1;
  [...demands].sort((a, b) => a - b).forEach((demand) => {
    left -= Math.min(demand, left / sharing);
    sharing -= 1;
  });
  return left;
}

export function shareOf(
  use: WorkspaceUse,
  {
    workspace, tokens, capacity, unknown,
  }: ShareDemand,
): Share {
  const others = [...use].filter(([name, used]) => name !== workspace && used > 0);
  const demands = others.map(([, used]) => used * GROWTH_FACTOR);
  const used = (use.get(workspace) ?? 0) + tokens;
  const most = maxMinShare(capacity, unknown > 0 ? [...demands, unknown] : demands);
  return {
    // One run is always within: an even part may be smaller than a run.
    isWithin: used <= Math.max(most, tokens), used, most, workspaces: others.length + 1,
  };
}
