import test from 'ava';
import { callState, callTransition } from '../src/relay/callstate.js';
import type { CallEffect, CallEvent } from '../src/relay/callstate.js';

const ANSWER = { status: 200, headers: [], body: Buffer.from('ok') };
const FAILURE = { status: 500, headers: [], body: Buffer.from('no') };

function assigned(server: string): CallEvent {
  return { kind: 'assigned', server };
}

function failed(attempt: number, ran: 'no' | 'unknown', sent = true, answer = false): CallEvent {
  return {
    kind: 'failed', attempt, ran, sent, message: 'lost', answer: answer ? FAILURE : undefined,
  };
}

const UNASSIGNABLE: CallEvent = { kind: 'unassignable', message: 'none', retryAfterMs: 5 };

function shortOf(effect: CallEffect): string {
  switch (effect.kind) {
    case 'assign': return `assign${effect.isRetry ? ' again' : ''} -${effect.exclude.join('')}`;
    case 'dispatch': return `dispatch ${effect.attempt.number} ${effect.attempt.server}`;
    case 'cancel': return `cancel ${effect.attempt.number}`;
    case 'answer': return `answer ${effect.answer.status}`;
    case 'refuse': return `refuse ${effect.refusal.code} ${effect.refusal.ran}`;
  }
}

/** The last effects of a row of events, in short. */
function play(repeatable: boolean, attempts: number, events: readonly CallEvent[]): string {
  let state = callState(repeatable, attempts);
  let effects: readonly CallEffect[] = [];
  [{ kind: 'begin' } as const, ...events].forEach((event) => {
    ({ state, effects } = callTransition(state, event));
  });
  return effects.map(shortOf).join(', ');
}

const ROWS: readonly {
  name: string;
  safe: boolean;
  attempts?: number;
  events: readonly CallEvent[];
  effects: string;
}[] = [
  {
    name: 'begins', safe: true, events: [], effects: 'assign -',
  },
  {
    name: 'is dispatched', safe: true, events: [assigned('a')], effects: 'dispatch 1 a',
  },
  {
    name: 'is answered',
    safe: true,
    events: [assigned('a'), { kind: 'answered', attempt: 1, answer: ANSWER }],
    effects: 'answer 200',
  },
  {
    name: 'safe: goes elsewhere after a loss',
    safe: true,
    events: [assigned('a'), failed(1, 'unknown')],
    effects: 'assign again -a',
  },
  {
    name: 'unsafe: ends after a loss',
    safe: false,
    events: [assigned('a'), failed(1, 'unknown')],
    effects: 'refuse backend_failed unknown',
  },
  {
    name: 'unsafe: goes elsewhere when it has not run',
    safe: false,
    events: [assigned('a'), failed(1, 'no')],
    effects: 'assign again -a',
  },
  {
    name: 'draws on no budget when no server was reached',
    safe: false,
    events: [assigned('a'), failed(1, 'no', false)],
    effects: 'assign -a',
  },
  {
    name: 'keeps to the route\'s attempts',
    safe: true,
    attempts: 2,
    events: [assigned('a'), failed(1, 'unknown'), assigned('b'), failed(2, 'unknown')],
    effects: 'refuse backend_failed unknown',
  },
  {
    name: 'leaves servers that were not reached out of them',
    safe: true,
    attempts: 1,
    events: [assigned('a'), failed(1, 'no', false)],
    effects: 'assign -a',
  },
  {
    name: 'gives the caller a server\'s own failure when there is nothing better',
    safe: true,
    events: [assigned('a'), failed(1, 'unknown', true, true), UNASSIGNABLE],
    effects: 'answer 500',
  },
  {
    name: 'says that it has not run when no server had it',
    safe: false,
    events: [UNASSIGNABLE],
    effects: 'refuse unavailable no',
  },
  {
    name: 'safe: is given to a second server while the first is slow',
    safe: true,
    events: [assigned('a'), { kind: 'slow' }],
    effects: 'assign again -a',
  },
  {
    name: 'unsafe: is left with a slow server',
    safe: false,
    events: [assigned('a'), { kind: 'slow' }],
    effects: '',
  },
  {
    name: 'takes whichever answers first and cancels the other',
    safe: true,
    events: [assigned('a'), { kind: 'slow' }, assigned('b'),
      { kind: 'answered', attempt: 2, answer: ANSWER }],
    effects: 'cancel 1, answer 200',
  },
  {
    name: 'waits for the other when one of two fails',
    safe: true,
    events: [assigned('a'), { kind: 'slow' }, assigned('b'), failed(1, 'unknown')],
    effects: '',
  },
  {
    name: 'ends at its deadline with what is known',
    safe: false,
    events: [assigned('a'), { kind: 'expired' }],
    effects: 'cancel 1, refuse backend_timeout unknown',
  },
  {
    name: 'has not run when its deadline comes before a server',
    safe: false,
    events: [{ kind: 'expired' }],
    effects: 'refuse unavailable no',
  },
  {
    name: 'is cancelled when its caller leaves',
    safe: true,
    events: [assigned('a'), { kind: 'caller_gone' }],
    effects: 'cancel 1',
  },
  {
    name: 'takes nothing more once it has ended',
    safe: true,
    events: [assigned('a'), { kind: 'caller_gone' },
      { kind: 'answered', attempt: 1, answer: ANSWER }],
    effects: '',
  },
];
ROWS.forEach(({
  name, safe, attempts = 3, events, effects,
}) => {
  test(`a call ${name}`, (t) => {
    t.is(play(safe, attempts, events), effects);
  });
});
