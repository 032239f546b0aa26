import test from 'ava';
import type { GenerationEvent } from '../src/generation/change.js';
import { generationState } from '../src/generation/state.js';
import { transaction } from '../src/generation/transaction.js';

const token = (attempt: number, position: number, text: string): GenerationEvent => (
  {
    kind: 'token', attempt, position, text,
  });
const lost = (attempt: number): GenerationEvent => ({
  kind: 'failed',
  attempt,
  failure: {
    kind: 'failed', cause: 'reset', ran: 'unknown', message: 'reset',
  },
});
const assigned = (server: string): GenerationEvent => ({ kind: 'assigned', server, version: '1' });
const finish = (attempt: number, position: number): GenerationEvent => (
  {
    kind: 'finish', attempt, position, reason: 'stop',
  });

function play(events: readonly GenerationEvent[], repeatable = true) {
  const effects: string[] = [];
  let state = generationState({ repeatable, maxAttempts: 4 });
  events.forEach((event) => {
    const tr = transaction(state, event);
    state = tr.state;
    tr.effects.forEach((effect) => {
      if (effect.kind === 'token') effects.push(effect.text);
      else if (effect.kind === 'drop') effects.push(`drop:${effect.cause}`);
      else if (effect.kind === 'refuse') effects.push(`refuse:${effect.refusal.ran}`);
      else effects.push(effect.kind);
    });
  });
  return effects.join(' ');
}

const TABLE: readonly [string, readonly GenerationEvent[], string][] = [
  ['plain', [assigned('a'), token(1, 0, 'x'), finish(1, 1)], 'dispatch x finish'],
  ['late tokens of a lost attempt are dropped',
    [assigned('a'), token(1, 0, 'x'), lost(1), assigned('b'), token(1, 1, 'old'), token(2, 1, 'y')],
    'dispatch x cancel assign dispatch drop:late_attempt y'],
  ['a repeated token is dropped',
    [assigned('a'), token(1, 0, 'x'), token(1, 0, 'x'), token(1, 1, 'y')],
    'dispatch x drop:repeated y'],
  ['a skipped token is a loss',
    [assigned('a'), token(1, 1, 'y')], 'dispatch drop:gap cancel assign'],
  ['a finish at the wrong position is a loss',
    [assigned('a'), token(1, 0, 'x'), finish(1, 3)], 'dispatch x cancel assign'],
];

TABLE.forEach(([title, events, expected]) => {
  test(title, (t) => {
    t.is(play(events), expected);
  });
});

test('a request that may not repeat is not begun again at 0 after a loss', (t) => {
  t.is(play([assigned('a'), lost(1)], false), 'dispatch cancel refuse:unknown');
});
