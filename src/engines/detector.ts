/**
 * Failure detector of one engine, as a pure function from observations to effects. Silence is
 * measured in the time that this daemon was awake, so that a pause of the daemon itself makes no
 * engine suspect.
 */
import type { Favour } from '../configuration/configuration.js';
import type { Health } from './directory.js';

/** Silence that is tolerated, as a multiple of the engine's step. */
const STEP_FACTOR = 12;
/** Silence that is tolerated, as a multiple of the longest recent gap between tokens. */
const GAP_FACTOR = 1.5;
/** Consecutive unanswered pings or reports after which an engine is down. */
const MISSES_UNTIL_DOWN = 2;

interface Thresholds {
  readonly minSuspectMs: number;
  readonly maxSuspectMs: number;
  readonly pingDeadlineMs: number;
  /** Time allowed for a first token, besides the prefill of the prompt. */
  readonly firstTokenMs: number;
  /** Minimum silence that makes one stream suspect while the engine's others continue. */
  readonly minStreamSuspectMs: number;
}

const THRESHOLDS: Readonly<Record<Favour, Thresholds>> = {
  latency: {
    minSuspectMs: 40,
    maxSuspectMs: 300,
    pingDeadlineMs: 100,
    firstTokenMs: 150,
    minStreamSuspectMs: 250,
  },
  resources: {
    minSuspectMs: 150,
    maxSuspectMs: 1_000,
    pingDeadlineMs: 200,
    firstTokenMs: 2_000,
    minStreamSuspectMs: 1_500,
  },
};

export interface DetectorState {
  /** Whether decoding streams have produced no token for too long. */
  readonly silent: boolean;
  readonly pinging: boolean;
  /** Silence after which the engine is pinged again. */
  readonly nextPingMs: number;
  /** Consecutive unanswered pings or reports. */
  readonly misses: number;
}

/** What the thresholds are computed from. */
export interface EngineTiming {
  readonly favour: Favour;
  /** Duration of the engine's step, as it last reported. */
  readonly stepMs: number;
  /** Longest recent gap between tokens while the engine was up. */
  readonly maxGapMs: number;
}

export type Observation =
  /** Time since the last token of any decoding stream. */
  | { readonly kind: 'silence'; readonly silentMs: number }
  | { readonly kind: 'token' }
  | { readonly kind: 'answered'; readonly to: 'ping' | 'report' }
  | { readonly kind: 'unanswered'; readonly to: 'ping' | 'report' }
  /** The daemon itself was paused, so that the missing answer to a ping says nothing. */
  | { readonly kind: 'inconclusive' }
  | { readonly kind: 'connection_refused' };

export type DetectorEffect =
  | { readonly kind: 'ping'; readonly deadlineMs: number }
  /** Streams may be hedged on other engines. */
  | { readonly kind: 'suspect' }
  /** All streams are lost. */
  | { readonly kind: 'lose' }
  | { readonly kind: 'recovered' };

export interface Detection {
  readonly state: DetectorState;
  readonly effects: readonly DetectorEffect[];
}

export const INITIAL_DETECTOR: DetectorState = {
  silent: false, pinging: false, nextPingMs: 0, misses: 0,
};

/** Silence after which an engine is suspected. */
export function suspectAfterMs({ favour, stepMs, maxGapMs }: EngineTiming): number {
  const { minSuspectMs, maxSuspectMs } = THRESHOLDS[favour];
  const wanted = Math.max(minSuspectMs, STEP_FACTOR * stepMs, GAP_FACTOR * maxGapMs);
  return Math.min(maxSuspectMs, wanted);
}

/** Silence after which a single stream of a healthy engine is suspected. */
export function suspectStreamAfterMs(timing: EngineTiming): number {
  return Math.max(THRESHOLDS[timing.favour].minStreamSuspectMs, suspectAfterMs(timing) * 2);
}

export interface QueueState { readonly waiting: number; readonly full: boolean }

const QUEUED_FIRST_TOKEN_MS = 10_000;
const PREFILL_MS_PER_TOKEN = 0.1;

/** Time within which a first token is due, given the prompt's length and the engine's queue. */
export function firstTokenMs(
  timing: EngineTiming,
  prefillTokens: number,
  queue: QueueState,
): number {
  const queued = queue.waiting > 0 || queue.full ? QUEUED_FIRST_TOKEN_MS : 0;
  return THRESHOLDS[timing.favour].firstTokenMs + queued + prefillTokens * PREFILL_MS_PER_TOKEN;
}

export function healthOf({ silent, misses }: DetectorState): Health {
  if (misses >= MISSES_UNTIL_DOWN) return 'down';
  return silent || misses > 0 ? 'suspect' : 'up';
}

/** Moves to `state`, with an effect when the engine goes down or comes back up. */
function transition(from: DetectorState, state: DetectorState): Detection {
  const before = healthOf(from);
  const after = healthOf(state);
  if (before === after) return { state, effects: [] };
  if (after === 'down') return { state, effects: [{ kind: 'lose' }] };
  return { state, effects: after === 'up' ? [{ kind: 'recovered' }] : [] };
}

function onSilence(state: DetectorState, silentMs: number, timing: EngineTiming): Detection {
  const threshold = suspectAfterMs(timing);
  if (silentMs < threshold) {
    return state.silent ? transition(state, { ...state, silent: false }) : { state, effects: [] };
  }
  const ping: DetectorEffect = {
    kind: 'ping', deadlineMs: THRESHOLDS[timing.favour].pingDeadlineMs,
  };
  if (!state.silent) {
    return {
      state: {
        ...state, silent: true, pinging: true, nextPingMs: threshold * 2,
      },
      effects: state.pinging ? [{ kind: 'suspect' }] : [{ kind: 'suspect' }, ping],
    };
  }
  if (state.pinging || silentMs < state.nextPingMs) return { state, effects: [] };
  return { state: { ...state, pinging: true, nextPingMs: silentMs * 2 }, effects: [ping] };
}

function onUnanswered(
  state: DetectorState,
  to: 'ping' | 'report',
  timing: EngineTiming,
): Detection {
  const pinging = to === 'ping' ? false : state.pinging;
  const missed = { ...state, pinging, misses: state.misses + 1 };
  if (pinging || missed.misses >= MISSES_UNTIL_DOWN) return transition(state, missed);
  return {
    state: { ...missed, pinging: true },
    effects: [{ kind: 'ping', deadlineMs: THRESHOLDS[timing.favour].pingDeadlineMs }],
  };
}

/** Applies one observation. */
export function detect(
  state: DetectorState,
  observation: Observation,
  timing: EngineTiming,
): Detection {
  switch (observation.kind) {
    case 'silence': return onSilence(state, observation.silentMs, timing);
    case 'token': return transition(state, { ...state, silent: false, misses: 0 });
    // An engine that answers may still produce no tokens, so `silent` stays.
    case 'answered': {
      const pinging = observation.to === 'ping' ? false : state.pinging;
      return transition(state, { ...state, pinging, misses: 0 });
    }
    case 'unanswered': return onUnanswered(state, observation.to, timing);
    case 'inconclusive': return { state: { ...state, pinging: false }, effects: [] };
    case 'connection_refused':
      return transition(state, { ...state, pinging: false, misses: MISSES_UNTIL_DOWN });
  }
}
