/**
 * The state transactions of one generation. A token is accepted only from a live attempt and at the
 * position that equals the answer's length, so that no failure can repeat, lose or interleave
 * tokens. While attempts race, the first one to provide the next token wins.
 */
import type { Refusal } from '../common/refusal.js';
import type {
  AttemptEvent, FinishEvent, GenerationEffect, GenerationEvent, OpenedEvent, ReturnPoint,
  TokenEvent,
} from './event.js';
import {
  assign, drop, ENDED, failed, liveAttempts, lossRefusal, protocolFailure, refuse, settled, withRan,
  stopAll, unchanged,
} from './loss.js';
import type { Transaction } from './loss.js';
import type { Attempt, GenerationState } from './state.js';

/** Attempts that may race for the next token. */
const MAX_LIVE_ATTEMPTS = 3;
/** Attempts started through different instances are numbered in ranges of this size. */
const ATTEMPTS_PER_INSTANCE = 64;
/** The text is flattened once in so many tokens, which bounds the memory of its parts. */
const FLATTEN_EVERY_TOKENS = 128;

function assigned(state: GenerationState, server: string, version: string): Transaction {
  const { phase } = state;
  const expected = phase.kind === 'waiting' || (phase.kind === 'running' && phase.hedging);
  if (!expected) return unchanged(state);
  if (state.version !== undefined && state.version !== version) {
    return refuse(state, lossRefusal(state, `no backend server runs version ${state.version}`));
  }
  const attempt: Attempt = {
    number: state.attempts + 1,
    server,
    version,
    from: state.accepted.tokens,
    kind: 'begin',
    incarnation: undefined,
  };
  return {
    state: {
      ...state,
      attempts: attempt.number,
      attemptsWithoutToken: state.attemptsWithoutToken + 1,
      version,
      phase: { kind: 'running', live: [...liveAttempts(state), attempt], hedging: false },
    },
    effects: [{ kind: 'dispatch', attempt }],
  };
}

function unassignable(state: GenerationState, refusal: Refusal): Transaction {
  const { phase } = state;
  if (phase.kind === 'running') {
    return unchanged({ ...state, phase: { ...phase, hedging: false } });
  }
  if (phase.kind !== 'waiting') return unchanged(state);
  return {
    state: { ...state, phase: ENDED },
    effects: [{ kind: 'refuse', refusal: withRan(state, refusal) }],
  };
}

/** Hedges a silent attempt with another one, where that can't run the request twice. */
function suspected(state: GenerationState, number: number): Transaction {
  const { phase } = state;
  if (phase.kind !== 'running' || phase.hedging) return unchanged(state);
  if (phase.live.length >= MAX_LIVE_ATTEMPTS) return unchanged(state);
  const attempt = phase.live.at(-1);
  const safeToHedge = state.repeatable || state.accepted.tokens > 0;
  const allowed = state.hedges && safeToHedge && state.textKnown
    && state.attemptsWithoutToken < state.maxAttempts;
  if (!attempt || attempt.number !== number || !allowed) return unchanged(state);
  return {
    state: { ...state, phase: { ...phase, hedging: true } },
    effects: [
      {
        kind: 'assign',
        reason: 'hedge',
        exclude: [...state.excluded, ...phase.live.map(({ server }) => server)],
      },
    ],
  };
}

function opened(state: GenerationState, attempt: Attempt, event: OpenedEvent): Transaction {
  const { phase } = state;
  const { incarnation } = event;
  if (phase.kind !== 'running') return unchanged(state);
  if (attempt.incarnation !== undefined && attempt.incarnation !== incarnation) {
    return failed(state, attempt, {
      kind: 'failed', cause: 'restarted', ran: 'unknown', message: 'the engine restarted',
    });
  }
  const live = phase.live.map((other) => (
    other === attempt ? { ...attempt, incarnation } : other));
  return unchanged({
    ...state, mayHaveRun: true, mayHaveBeenReceived: true, phase: { ...phase, live },
  });
}

/** Reading a character makes the runtime flatten a concatenated string. */
function flatten(text: string): string {
  return Number.isNaN(text.charCodeAt(0)) ? '' : text;
}

function tokenReceived(state: GenerationState, attempt: Attempt, event: TokenEvent): Transaction {
  const { position, text } = event;
  const { accepted, phase } = state;
  if (position < accepted.tokens) return drop(state, 'repeated');
  if (position > accepted.tokens) {
    const tr = protocolFailure(state, attempt, 'the engine skipped a token');
    return { ...tr, effects: [{ kind: 'drop', cause: 'gap' }, ...tr.effects] };
  }
  if (position >= state.maxTokens) {
    return {
      state: { ...state, phase: ENDED },
      effects: [
        { kind: 'drop', cause: 'past_end' },
        ...stopAll(state),
        { kind: 'finish', reason: 'length', tokens: accepted.tokens },
      ],
    };
  }
  const token: GenerationEffect = { kind: 'token', position, text };
  const alone = phase.kind === 'running' && phase.live.length === 1 && !phase.hedging;
  const tokens = position + 1;
  const joined = accepted.text + text;
  return {
    state: {
      ...state,
      mayHaveRun: true,
      mayHaveBeenReceived: true,
      attemptsWithoutToken: 0,
      excluded: state.excluded.length === 0 ? state.excluded : [],
      phase: alone ? phase : { kind: 'running', live: [attempt], hedging: false },
      accepted: { text: tokens % FLATTEN_EVERY_TOKENS === 0 ? flatten(joined) : joined, tokens },
    },
    effects: alone ? [token] : [token, ...stopAll(state, attempt)],
  };
}

function finished(state: GenerationState, attempt: Attempt, event: FinishEvent): Transaction {
  const { tokens } = state.accepted;
  if (event.position !== tokens) {
    return protocolFailure(state, attempt, 'the engine finished at the wrong position');
  }
  // A finish for length before `maxTokens` is accepted only when another engine agrees.
  if (event.reason === 'length' && tokens < state.maxTokens && state.shortFinishAt !== tokens) {
    return protocolFailure(
      { ...state, shortFinishAt: tokens },
      attempt,
      'the engine finished too early',
    );
  }
  return {
    state: { ...state, phase: ENDED },
    effects: [
      ...stopAll(state, attempt),
      { kind: 'close', attempt, outcome: 'answered' },
      {
        kind: 'finish', reason: event.reason, tokens, promptTokens: event.promptTokens,
      },
    ],
  };
}

function returned(state: GenerationState, from: ReturnPoint): Transaction {
  const attempt: Attempt = {
    number: from.attempt,
    server: from.server,
    version: from.version,
    from: from.tokens,
    kind: 'join',
    incarnation: undefined,
  };
  const ranges = Math.floor(from.attempt / ATTEMPTS_PER_INSTANCE) + 1;
  return {
    state: {
      ...state,
      accepted: { text: from.text ?? '', tokens: from.tokens },
      textKnown: from.tokens === 0 || from.text !== undefined,
      attempts: ranges * ATTEMPTS_PER_INSTANCE,
      version: from.version,
      mayHaveRun: true,
      mayHaveBeenReceived: true,
      phase: { kind: 'running', live: [attempt], hedging: false },
    },
    effects: [{ kind: 'dispatch', attempt }],
  };
}

function attemptEvent(state: GenerationState, event: AttemptEvent): Transaction {
  const attempt = liveAttempts(state).find(({ number }) => number === event.attempt);
  if (!attempt) return event.kind === 'opened' ? unchanged(state) : drop(state, 'late_attempt');
  switch (event.kind) {
    case 'opened': return opened(state, attempt, event);
    case 'token': return tokenReceived(state, attempt, event);
    case 'finish': return finished(state, attempt, event);
    case 'failed': return failed(state, attempt, event.failure);
  }
}

/** Applies one event. */
export function transaction(state: GenerationState, event: GenerationEvent): Transaction {
  if (state.phase.kind === 'ended' && event.kind !== 'token') return unchanged(state);
  switch (event.kind) {
    case 'begin': return assign(state, []);
    case 'return': return returned(state, event.from);
    case 'assigned': return assigned(state, event.server, event.version);
    case 'unassignable': return unassignable(state, event.refusal);
    case 'suspected': return suspected(state, event.attempt);
    case 'settled': return settled(state, event.attempt, event.outcome);
    case 'expired': return refuse(state, lossRefusal(state, event.message));
    case 'rejected': return refuse(state, withRan(state, event.refusal));
    case 'caller_gone': return {
      state: { ...state, phase: ENDED }, effects: stopAll(state),
    };
    case 'opened':
    case 'token':
    case 'finish':
    case 'failed': return attemptEvent(state, event);
  }
}
