/** A request that waits for a backend server, with all that its placement depends on. */
import type { Result } from 'neverthrow';
import type { Subscriber } from 'rxjs';
import type { Refusal } from '../common/refusal.js';
import { inputText, prefixBlocks } from '../engines/prefix.js';
import type { Entry } from '../limits/queuestate.js';
import type { Assignment, Demand } from './dispatcher.js';
import type { Need } from './eligibility.js';
import type { Ask, Survey } from './servers.js';

export type AttemptKind = 'first' | 'retry' | 'resume';

export interface Waiting {
  readonly entry: Entry;
  readonly demand: Demand;
  readonly ask: Ask;
  /** Entries of a group find room or not together. */
  readonly group: string;
  readonly subscriber: Subscriber<Result<Assignment, Refusal>>;
}

export function kindOf({ resume, exclude }: Demand): AttemptKind {
  if (resume) return 'resume';
  return exclude.length > 0 ? 'retry' : 'first';
}

export function askOf({ target, ...demand }: Demand, need: Need): Ask {
  const text = target.kind === 'model' ? inputText(target.input) : '';
  const blocks = target.kind === 'model' ? prefixBlocks(target.model, text) : [];
  const { priority, resume, exclude } = demand;
  return {
    need, priority, resume, exclude, blocks, characters: text.length,
  };
}

/** Whether waiting can't help: no server could take the request, room or not. */
export function isHopeless({ candidates, full, excluded }: Survey): boolean {
  return candidates.length + full === 0 && !excluded.not_reported && !excluded.breaker;
}
