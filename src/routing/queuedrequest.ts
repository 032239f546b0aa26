/**
 * A request that waits for a backend server, with all that its placement depends on. Routing has
 * four views of a request: `Demand` is what the caller of the dispatcher gives; `Need` is what of
 * it a server has to hold; `Ask` adds what the choice of a server weighs, as priority and prefix;
 * `Entry` is its place in the queue, with its workspace's weight, its cost and its deadline.
 */
import type { Result } from 'neverthrow';
import type { Subscriber } from 'rxjs';
import type { Refusal } from '../common/refusal.js';
import { inputText, prefixBlocks } from '../engines/prefix.js';
import type { Entry } from '../limits/queuestate.js';
import type { Assignment, AssignmentRequest } from './dispatcher.js';
import type { Need } from './eligibility.js';
import type { ServerQuery, MatchResult } from './servers.js';

/** `retry` begins again at position 0, `resume` goes on after tokens that the caller has. */
export type AttemptKind = 'first' | 'retry' | 'resume';

/** One entry of the line. */
export interface QueuedRequest {
  readonly entry: Entry;
  readonly request: AssignmentRequest;
  readonly query: ServerQuery;
  /** Entries of a group find room or not together. */
  readonly group: string;
  readonly subscriber: Subscriber<Result<Assignment, Refusal>>;
}

/** Resumes and retries have budgets of their own. */
export function attemptKind({ resume, exclude, retry }: AssignmentRequest): AttemptKind {
  if (resume) return 'resume';
  return retry ?? exclude.length > 0 ? 'retry' : 'first';
}

/** The request in terms of what the servers have to do. */
export function queryOf({ target, ...request }: AssignmentRequest, need: Need): ServerQuery {
  const text = target.kind === 'model' ? inputText(target.input) : '';
  const blocks = target.kind === 'model' ? prefixBlocks(target.model, text) : [];
  const { priority, resume, exclude } = request;
  return {
    need, priority, resume, exclude, blocks, characters: text.length,
  };
}

/** Whether no server could take the request, room or not, nor will when its breaker closes. */
export function isUnserviceable({ candidates, full, excluded }: MatchResult): boolean {
  return candidates.length + full === 0 && !excluded.not_reported && !excluded.breaker;
}
