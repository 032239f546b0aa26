/** Load assigned to a server, counted until it is released. */
import { negateLoad } from './serverstate.js';
import type { Load } from './serverstate.js';

export interface Assignment {
  update(load: Load): void;
  /** Idempotent. */
  release(): void;
}

/** @param add adds a change, which may be negative, to the server's load */
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
