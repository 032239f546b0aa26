/**
 * The failure detector of one engine. Pure: it is told what was observed of the engine and says
 * what to do. Silence is measured in time during which this daemon itself was awake, so that a
 * pause of the daemon suspects nobody.
 */
import type { Favour } from '../configuration/configuration.js';
import type { Health } from './directory.js';

/** Gaps between tokens that a threshold allows for, as a multiple of the engine's step. */
const STEPS_ALLOWED = 12;
/** How far past the longest recent gap a silence has to go. */
const GAP_FACTOR = 1.5;
/** Unanswered pings or reports in a row after which an engine is given up. */
const MISSES_ALLOWED = 2;

interface Tuning {
  readonly minSuspectMs: number;
  readonly maxSuspectMs: number;
  readonly pingDeadlineMs: number;
  /** Time to a first token besides the prompt's own. */
  readonly firstTokenMs: number;
  /** How long one stream may be silent while the engine's others go on. */
  readonly streamSilenceMs: number;
}

const TUNING: Readonly<Record<Favour, Tuning>> = {
  latency: {
    minSuspectMs: 40,
    maxSuspectMs: 300,
    pingDeadlineMs: 100,
    firstTokenMs: 150,
    streamSilenceMs: 250,
  },
  resources: {
    minSuspectMs: 150,
    maxSuspectMs: 1_000,
    pingDeadlineMs: 200,
    firstTokenMs: 2_000,
    streamSilenceMs: 1_500,
  },
};

export interface DetectorState {
  /** Whether streams that should give tokens have given none for too long. */
  readonly silent: boolean;
  readonly pinging: boolean;
  /** Silence at which the engine is asked again. */
  readonly nextPingMs: number;
  /** Unanswered pings or reports in a row. */
  readonly misses: number;
}

/** What the thresholds follow. */
export interface Pace {
  readonly favour: Favour;
  /** Duration of the engine's step, as it reported it. */
  readonly stepMs: number;
  /** The longest gap between tokens seen lately while the engine was well. */
  readonly gapMs: number;
}

export type Observation =
  /** No token for so long from any stream that should give some. */
  | { readonly kind: 'silence'; readonly silentMs: number }
  | { readonly kind: 'token' }
  | { readonly kind: 'answered'; readonly to: 'ping' | 'report' }
  | { readonly kind: 'unanswered'; readonly to: 'ping' | 'report' }
  /** The daemon was paused while it waited, so that the missing answer says nothing. */
  | { readonly kind: 'inconclusive' }
  | { readonly kind: 'connection_refused' };

export type DetectorEffect =
  | { readonly kind: 'ping'; readonly deadlineMs: number }
  /** Streams that can may start a second attempt elsewhere. */
  | { readonly kind: 'suspect' }
  /** Every stream is lost. */
  | { readonly kind: 'lose' }
  | { readonly kind: 'recovered' };

export interface Detection {
  readonly state: DetectorState;
  readonly effects: readonly DetectorEffect[];
}

export const FRESH_DETECTOR: DetectorState = {
  silent: false, pinging: false, nextPingMs: 0, misses: 0,
};

/** Silence after which an engine is suspected. */
export function suspectAfterMs({ favour, stepMs, gapMs }: Pace): number {
  const { minSuspectMs, maxSuspectMs } = TUNING[favour];
  const wanted = Math.max(minSuspectMs, STEPS_ALLOWED * stepMs, GAP_FACTOR * gapMs);
  return Math.min(maxSuspectMs, wanted);
}

/** Silence after which one stream of an engine that is otherwise well is suspected. */
export function streamSilenceMs(pace: Pace): number {
  return Math.max(TUNING[pace.favour].streamSilenceMs, suspectAfterMs(pace) * 2);
}

export interface Queue { readonly waiting: number; readonly full: boolean }

const QUEUED_FIRST_TOKEN_MS = 10_000;
const PREFILL_MS_PER_TOKEN = 0.1;

/** Time within which a first token is due, from the prompt's size and what waits at the engine. */
export function firstTokenMs(pace: Pace, prefillTokens: number, queue: Queue): number {
  const queued = queue.waiting > 0 || queue.full ? QUEUED_FIRST_TOKEN_MS : 0;
  return TUNING[pace.favour].firstTokenMs + queued + prefillTokens * PREFILL_MS_PER_TOKEN;
}

export function healthOf({ silent, misses }: DetectorState): Health {
  if (misses >= MISSES_ALLOWED) return 'down';
  return silent || misses > 0 ? 'suspect' : 'up';
}

/** Moves to `state` and says so when that makes the engine lost or well. */
function moved(from: DetectorState, state: DetectorState): Detection {
  const before = healthOf(from);
  const after = healthOf(state);
  if (before === after) return { state, effects: [] };
  if (after === 'down') return { state, effects: [{ kind: 'lose' }] };
  return { state, effects: after === 'up' ? [{ kind: 'recovered' }] : [] };
}

function silence(state: DetectorState, silentMs: number, pace: Pace): Detection {
  const threshold = suspectAfterMs(pace);
  if (silentMs < threshold) {
    return state.silent ? moved(state, { ...state, silent: false }) : { state, effects: [] };
  }
  const ping: DetectorEffect = { kind: 'ping', deadlineMs: TUNING[pace.favour].pingDeadlineMs };
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

function unanswered(state: DetectorState, to: 'ping' | 'report', pace: Pace): Detection {
  const pinging = to === 'ping' ? false : state.pinging;
  const missed = { ...state, pinging, misses: state.misses + 1 };
  if (pinging || missed.misses >= MISSES_ALLOWED) return moved(state, missed);
  return {
    state: { ...missed, pinging: true },
    effects: [{ kind: 'ping', deadlineMs: TUNING[pace.favour].pingDeadlineMs }],
  };
}

/** Applies one observation. */
export function detect(state: DetectorState, seen: Observation, pace: Pace): Detection {
  switch (seen.kind) {
    case 'silence': return silence(state, seen.silentMs, pace);
    case 'token': return moved(state, { ...state, silent: false, misses: 0 });
    // An engine that answers may still have stopped making tokens, so its silence stays.
    case 'answered': {
      const pinging = seen.to === 'ping' ? false : state.pinging;
      return moved(state, { ...state, pinging, misses: 0 });
    }
    case 'unanswered': return unanswered(state, seen.to, pace);
    case 'inconclusive': return { state: { ...state, pinging: false }, effects: [] };
    case 'connection_refused':
      return moved(state, { ...state, pinging: false, misses: MISSES_ALLOWED });
  }
}
