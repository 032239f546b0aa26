/**
 * What an instance observes of a backend server's speed. Each observation becomes the logarithm of
 * a ratio to a fixed reference, which all instances share: an instance that has seen one server
 * only can then be compared with one that has seen another. The reference needs no accuracy, since
 * a server's pace is compared with its service's mean.
 */

/** `first`: time to a first event; `step`: time between events; `call`: a whole answer's time. */
export const PACE_KINDS = ['first', 'step', 'call'] as const;

export type PaceKind = typeof PACE_KINDS[number];

/** What identifies a process of a backend server, and its service. */
export interface PacedServer {
  readonly id: string;
  readonly service: string;
  /** When the server's process started. */
  readonly startedAt: number;
  readonly slots: number;
}

export type Observation =
  | {
    readonly kind: 'first';
    readonly ms: number;
    /** Prompt tokens that the engine had to prefill until then, those ahead included. */
    readonly tokens: number;
    /** Requests known to run at the server then, this one included. */
    readonly running: number;
  }
  | {
    readonly kind: 'step';
    /** Time per character of the events' text. */
    readonly ms: number;
    readonly running: number;
  }
  | { readonly kind: 'call'; readonly ms: number; readonly running: number };

/** An observation as the estimate uses it. */
export interface Sample {
  /** Logarithm of the ratio of the time to the reference. */
  readonly level: number;
  /** Running requests over slots. */
  readonly concurrency: number;
  readonly weight: number;
}

/** Prompt tokens that an engine prefills per millisecond, from the deployments' data sheets. */
const REFERENCE_TOKENS_PER_MS = 8;
/** Time to the first event that doesn't depend on the prompt: the network and an engine's step. */
const REFERENCE_FIRST_MS = 50;
/** A first event that takes less by the reference tells little of the time per token. */
const INFORMATIVE_FIRST_MS = 300;
/** The time by the reference; for steps and calls, which have a scale of their own, 1 ms. */
function referenceMs(observation: Observation): number {
  return observation.kind === 'first'
    ? REFERENCE_FIRST_MS + observation.tokens / REFERENCE_TOKENS_PER_MS : 1;
}

/** Undefined if the time can't be one, as when several events arrive at once after a pause. */
export function sampleOf(observation: Observation, slots: number): Sample | undefined {
  const { kind, ms, running } = observation;
  if (!(ms > 0) || !Number.isFinite(ms)) return undefined;
  const reference = referenceMs(observation);
  const concurrency = running / Math.max(1, slots);
  // Calls beyond the slots wait for one, which tells nothing of how long a call takes there.
  const waiting = kind === 'call' ? Math.max(1, concurrency) : 1;
  return {
    level: Math.log(ms / reference / waiting),
    concurrency: Math.min(1, concurrency),
    weight: kind === 'first' ? Math.min(1, reference / INFORMATIVE_FIRST_MS) : 1,
  };
}
