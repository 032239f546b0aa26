/** Work given to a server, counted until its end. */
import { negative } from './serverstate.js';
import type { Load } from './serverstate.js';

export interface Given {
  change(load: Load): void;
  /** May be called more than once. */
  end(): void;
}

/** @param add adds to the load that is counted */
export function givenWork(load: Load, add: (change: Load) => void): Given {
  let current: Load | undefined;
  const change = (next: Load | undefined) => {
    if (current) add(negative(current));
    if (next) add(next);
    current = next;
  };
  change(load);
  return {
    change: (next) => {
      if (current) change(next);
    },
    end: () => change(undefined),
  };
}
