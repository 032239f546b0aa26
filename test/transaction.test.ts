import test from 'ava';
import type { CancelOutcome } from '../src/engines/engine.js';
import type { GenerationEffect, GenerationEvent } from '../src/generation/event.js';
import type { GenerationPolicy } from '../src/generation/state.js';
import { generationState } from '../src/generation/state.js';
import { transaction } from '../src/generation/transaction.js';

const BEGIN: GenerationEvent = { kind: 'begin' };
const token = (attempt: number, position: number, text: string): GenerationEvent => (
  {
    kind: 'token', attempt, position, text,
  });
const lost = (attempt: number, ran: 'no' | 'unknown' = 'unknown'): GenerationEvent => ({
  kind: 'failed',
  attempt,
  failure: {
    kind: 'failed', cause: 'reset', ran, message: 'reset',
  },
});
const assigned = (server: string, version = '1'): GenerationEvent => (
  { kind: 'assigned', server, version });
const finish = (
  attempt: number,
  position: number,
  reason: 'stop' | 'length' = 'stop',
): GenerationEvent => (
  {
    kind: 'finish', attempt, position, reason,
  });
const opened = (attempt: number, incarnation: string): GenerationEvent => (
  { kind: 'opened', attempt, incarnation });
const suspected = (attempt: number): GenerationEvent => ({ kind: 'suspected', attempt });
const settled = (attempt: number, outcome: CancelOutcome): GenerationEvent => (
  { kind: 'settled', attempt, outcome });
const returned = (tokens: number, text?: string): GenerationEvent => ({
  kind: 'return',
  from: {
    server: 'a', attempt: 3, version: '1', tokens, text,
  },
});
const UNASSIGNABLE: GenerationEvent = {
  kind: 'unassignable', refusal: { code: 'unavailable', message: 'none', ran: 'no' },
};

const OPTIONS: GenerationPolicy = {
  repeatable: true, maxAttempts: 3, hedges: true, maxTokens: 100,
};

/** An effect as one word; those that only release something are left out. */
function wordsOf(effect: GenerationEffect): readonly string[] {
  switch (effect.kind) {
    case 'token': return [effect.text];
    case 'drop': return [`drop:${effect.cause}`];
    case 'refuse': return [`refuse:${effect.refusal.ran}`];
    case 'assign': return [[effect.reason, ...effect.exclude].join('-')];
    case 'dispatch':
      return [`${effect.attempt.kind === 'join' ? 'join' : 'run'}:${effect.attempt.number}`];
    case 'cancel': return [`cancel:${effect.attempt.number}`];
    case 'settle': return [`settle:${effect.attempt.number}`];
    case 'finish': return [`finish:${effect.reason}@${effect.tokens}`];
    case 'close':
    case 'withdraw': return [];
  }
}

function effectsOf(events: readonly GenerationEvent[], options: Partial<GenerationPolicy> = {}) {
  let state = generationState({ ...OPTIONS, ...options });
  return events.flatMap((event) => {
    const tr = transaction(state, event);
    state = tr.state;
    return tr.effects.flatMap(wordsOf);
  }).join(' ');
}

type Row = readonly [string, readonly GenerationEvent[], string, Partial<GenerationPolicy>?];

const NEVER = { repeatable: false };
const START = [BEGIN, assigned('a'), token(1, 0, 'x')];

const TABLE: readonly Row[] = [
  ['an answer without failures', [...START, finish(1, 1)], 'begin run:1 x finish:stop@1'],
  ['late tokens of a lost attempt are dropped',
    [...START, lost(1), assigned('b'), token(1, 1, 'old'), token(2, 1, 'y')],
    'begin run:1 x cancel:1 resume-a run:2 drop:late_attempt y'],
  ['a late finish of a lost attempt is dropped',
    [...START, lost(1), assigned('b'), finish(1, 1), token(2, 1, 'y')],
    'begin run:1 x cancel:1 resume-a run:2 drop:late_attempt y'],
  ['a repeated token is dropped',
    [...START, token(1, 0, 'x'), token(1, 1, 'y')], 'begin run:1 x drop:repeated y'],
  ['a skipped token is a loss',
    [BEGIN, assigned('a'), token(1, 1, 'y')], 'begin run:1 drop:gap cancel:1 again-a'],
  ['a finish at the wrong position is a loss',
    [...START, finish(1, 3)], 'begin run:1 x cancel:1 resume-a'],
  ['an early finish for length is a loss until another engine agrees',
    [...START, finish(1, 1, 'length'), assigned('b'), finish(2, 1, 'length')],
    'begin run:1 x cancel:1 resume-a run:2 finish:length@1'],
  ['a token past the end ends the answer',
    [...START, token(1, 1, 'y')], 'begin run:1 x drop:past_end cancel:1 finish:length@1',
    { maxTokens: 1 }],
  ['a loss after the last token needs no other attempt',
    [...START, lost(1)], 'begin run:1 x cancel:1 finish:length@1', { maxTokens: 1 }],
  ['a new incarnation on an old stream is a loss',
    [BEGIN, assigned('a'), opened(1, 'i'), token(1, 0, 'x'), opened(1, 'j'), token(1, 1, 'z')],
    'begin run:1 x cancel:1 resume-a drop:late_attempt'],
  ['a resume on another version is refused',
    [...START, lost(1), assigned('b', '2')], 'begin run:1 x cancel:1 resume-a refuse:partly'],
  ['with no engine to resume on, the refusal says that the request ran partly',
    [...START, lost(1), UNASSIGNABLE], 'begin run:1 x cancel:1 resume-a refuse:partly'],
  ['with nothing delivered, a restart may use another version',
    [BEGIN, assigned('a'), lost(1), assigned('b', '2'), token(2, 0, 'x')],
    'begin run:1 cancel:1 again-a run:2 x'],
  ['attempts without a token are bounded',
    [BEGIN, assigned('a'), lost(1), assigned('b'), lost(2), assigned('c'), lost(3)],
    'begin run:1 cancel:1 again-a run:2 cancel:2 again-a-b run:3 cancel:3 refuse:unknown'],
  ['a token clears the excluded servers and the count of attempts',
    [...START, lost(1), assigned('b'), token(2, 1, 'y'), lost(2)],
    'begin run:1 x cancel:1 resume-a run:2 y cancel:2 resume-b'],
  ['the first next token of two live attempts wins: the hedge',
    [...START, suspected(1), assigned('b'), token(2, 1, 'h'), token(1, 1, 'old'), token(2, 2, 'i')],
    'begin run:1 x hedge-a run:2 h cancel:1 drop:late_attempt i'],
  ['the first next token of two live attempts wins: the first',
    [...START, suspected(1), assigned('b'), token(1, 1, 'y'), token(2, 1, 'h'), finish(1, 2)],
    'begin run:1 x hedge-a run:2 y cancel:2 drop:late_attempt finish:stop@2'],
  ['a racing attempt that repeats old tokens does not win',
    [...START, suspected(1), assigned('b'), token(1, 0, 'x'), token(2, 1, 'h')],
    'begin run:1 x hedge-a run:2 drop:repeated h cancel:1'],
  ['a hedge that is not yet assigned is withdrawn when the engine sends a token',
    [...START, suspected(1), token(1, 1, 'y'), assigned('b'), token(1, 2, 'z')],
    'begin run:1 x hedge-a y z'],
  ['repeated suspicions of one attempt start one hedge',
    [...START, suspected(1), suspected(1), assigned('b'), suspected(1)],
    'begin run:1 x hedge-a run:2'],
  ['a silent hedge is hedged, and the first next token still wins',
    [...START, suspected(1), assigned('b'), suspected(2), assigned('c'), suspected(3),
      token(2, 1, 'h'), token(3, 1, 'i'), token(1, 1, 'j')],
    'begin run:1 x hedge-a run:2 hedge-a-b run:3 h cancel:1 cancel:3'
      + ' drop:late_attempt drop:late_attempt'],
  ['a hedge continues after the loss of the first attempt',
    [...START, suspected(1), lost(1), assigned('b'), token(2, 1, 'h')],
    'begin run:1 x hedge-a cancel:1 run:2 h'],
  ['a hedge that cannot be assigned leaves the first attempt running',
    [...START, suspected(1), UNASSIGNABLE, token(1, 1, 'y')], 'begin run:1 x hedge-a y'],
  ['resources never hedges', [...START, suspected(1)], 'begin run:1 x', { hedges: false }],
  ['never: not hedged at position 0', [BEGIN, assigned('a'), suspected(1)], 'begin run:1', NEVER],
  ['never: hedged after the first token',
    [...START, suspected(1)], 'begin run:1 x hedge-a', NEVER],
  ['never: resumed from a position past 0',
    [...START, lost(1), assigned('b')], 'begin run:1 x cancel:1 resume-a run:2', NEVER],
  ['never: a refused attempt may be started elsewhere',
    [BEGIN, assigned('a'), lost(1, 'no'), assigned('b')], 'begin run:1 again-a run:2', NEVER],
  ['never: restarted after a confirmed cancel without tokens',
    [BEGIN, assigned('a'), lost(1), settled(1, { kind: 'cancelled', made: 0 }), assigned('b')],
    'begin run:1 settle:1 again-a run:2', NEVER],
  ['a request that an engine received and cancelled without tokens is refused as unknown',
    [BEGIN, assigned('a'), lost(1), settled(1, { kind: 'cancelled', made: 0 }), UNASSIGNABLE],
    'begin run:1 settle:1 again-a refuse:unknown', NEVER],
  ['a request that is refused while an attempt is live is refused as unknown',
    [BEGIN, assigned('a'), { kind: 'expired', message: 'late' }],
    'begin run:1 cancel:1 refuse:unknown', NEVER],
  ['a request that every engine refused is refused as not run',
    [BEGIN, assigned('a'), lost(1, 'no'), UNASSIGNABLE],
    'begin run:1 again-a refuse:no', NEVER],
  ['never: a loss at position 0 is not restarted when the engine produced tokens',
    [BEGIN, assigned('a'), lost(1), settled(1, { kind: 'cancelled', made: 2 })],
    'begin run:1 settle:1 refuse:unknown', NEVER],
  ['never: a loss at position 0 is not restarted when the engine does not know it',
    [BEGIN, assigned('a'), lost(1), settled(1, { kind: 'not_found' })],
    'begin run:1 settle:1 refuse:unknown', NEVER],
  ['never: a loss at position 0 is not restarted without a confirmed cancel',
    [BEGIN, assigned('a'), lost(1), settled(1, { kind: 'unknown' })],
    'begin run:1 settle:1 refuse:unknown', NEVER],
  ['an expired generation is refused and its attempts are cancelled',
    [...START, { kind: 'expired', message: 'time' }, token(1, 1, 'y')],
    'begin run:1 x cancel:1 refuse:partly drop:late_attempt'],
  ['both attempts are cancelled when the caller disconnects',
    [...START, suspected(1), assigned('b'), { kind: 'caller_gone' }],
    'begin run:1 x hedge-a run:2 cancel:1 cancel:2'],
  ['a returning caller joins the stream',
    [returned(2, 'xy'), token(3, 2, 'z'), finish(3, 3)], 'join:3 z finish:stop@3'],
  ['a returning caller with its text resumes elsewhere',
    [returned(2, 'xy'), lost(3, 'no'), assigned('b'), token(65, 2, 'z')],
    'join:3 resume run:65 z'],
  ['a returning caller without its text is refused once the engine is gone',
    [returned(2), lost(3, 'no')], 'join:3 refuse:partly'],
  ['never: a returning caller without tokens is not restarted',
    [returned(0), lost(3, 'no'), settled(3, { kind: 'not_found' })],
    'join:3 settle:3 refuse:unknown', NEVER],
];

TABLE.forEach(([title, events, expected, options]) => {
  test(title, (t) => {
    t.is(effectsOf(events, options), expected);
  });
});
