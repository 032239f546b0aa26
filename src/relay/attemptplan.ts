/** What is decided about an attempt of a stream before it starts, and how far it has got. */
import type { Caller } from './context.js';
import type { RunDemand } from './selection.js';
import type { ServerEntry } from './serverentry.js';

/**
 * How far an engine has got with an attempt: `waiting` before the response's head, `starting`
 * between the head and the first event, `streaming` after it.
 */
export type AttemptStage = 'waiting' | 'starting' | 'streaming';

/** The engines chosen for an attempt, and what the choice was based on. */
export interface AttemptPlan {
  readonly server: ServerEntry;
  readonly standby: ServerEntry | undefined;
  /** Whether the engine resumes from a standby copy of the run's KV cache. */
  readonly resumesFromCopy: boolean;
  /** Prompt tokens that the engine has to prefill. */
  readonly prefillTokens: number;
  readonly expectedFirstMs: number;
}

export interface AttemptOptions {
  readonly number: number;
  /** Position of the first event to request. */
  readonly from: number;
  readonly demand: RunDemand;
  /** Engines that have failed the request since its last event. */
  readonly excluded: readonly string[];
  /** Whether an earlier attempt has run for some time. */
  readonly hasRun: boolean;
  /** Whether the caller's own request named a last event. */
  readonly reconnecting: boolean;
  /** Where another engine has ended the stream without an event; undefined if none has. */
  readonly emptyEndAt: number | undefined;
  /** Whether another engine could take over the stream now; `isLost` if this one is not reached. */
  readonly canMigrate: (isLost: boolean) => boolean;
  /** Told of errors of the relay's own. */
  readonly caller: Pick<Caller, 'fail'>;
}
