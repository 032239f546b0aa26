/**
 * A request in the queue for a backend server. Routing has four views of a request:
 * `AssignmentRequest` is the dispatcher's input; `Need` is what a server must provide to run it;
 * `ServerQuery` adds the properties that candidates are selected and scored by, such as priority
 * and prefix; `Entry` is its queue entry, with the workspace's weight, the cost and the deadline.
 */
import type { Result } from 'neverthrow';
import type { Subscriber } from 'rxjs';
import type { Refusal } from '../common/refusal.js';
import { inputText, prefixBlocks } from '../engines/prefix.js';
import type { Entry } from '../limits/queuestate.js';
import type { Assignment, AssignmentRequest } from './dispatcher.js';
import type { Need } from './eligibility.js';
import type { ServerQuery, MatchResult } from './servers.js';

/** A `retry` restarts at position 0; a `resume` continues after the tokens the caller has. */
export type AttemptKind = 'first' | 'retry' | 'resume';

/** A queue entry and the request it stands for. */
export interface QueuedRequest {
  readonly entry: Entry;
  readonly request: AssignmentRequest;
  readonly query: ServerQuery;
  /** Requests of a group need the same capacity: if one finds none, neither does any other. */
  readonly group: string;
  readonly subscriber: Subscriber<Result<Assignment, Refusal>>;
}

/** Classifies an attempt: only retries are charged to the retry budget. */
export function attemptKind({ resume, exclude, retry }: AssignmentRequest): AttemptKind {
  if (resume) return 'resume';
  return retry ?? exclude.length > 0 ? 'retry' : 'first';
}

/** The query for servers that can run the request. */
export function queryOf({ target, ...request }: AssignmentRequest, need: Need): ServerQuery {
  const text = target.kind === 'model' ? inputText(target.input) : '';
  const blocks = target.kind === 'model' ? prefixBlocks(target.model, text) : [];
  const { priority, resume, exclude } = request;
  return {
    need, priority, resume, exclude, blocks, characters: text.length,
  };
}

/** Whether no server is eligible, and none would be after a report or a closing breaker. */
export function isUnserviceable({ candidates, full, excluded }: MatchResult): boolean {
  return candidates.length + full === 0 && !excluded.not_reported && !excluded.breaker;
}
