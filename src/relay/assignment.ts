/** Work given to a server, counted until its end. */
import { negateLoad } from './serverstate.js';
import type { Load } from './serverstate.js';

export interface Assignment {
  update(load: Load): void;
  /** May be called more than once. */
  release(): void;
}

/** @param add adds to the load that is counted */
export function trackAssignment(load: Load, add: (change: Load) => void): Assignment {
  let current: Load | undefined;
  const change = (next: Load | undefined) => {
    if (current) add(negateLoad(current));
    if (next) add(next);
    current = next;
  };
  change(load);
  return {
    update: (next) => {
      if (current) change(next);
    },
    release: () => change(undefined),
  };
}
