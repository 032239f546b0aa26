import test from 'ava';
import { callState, callTransition } from '../src/relay/callstate.js';
import type { Arrival, CallEffect, CallEvent } from '../src/relay/callstate.js';

const ANSWER = { status: 200, headers: [], body: [Buffer.from('ok')] };
const FAILURE = { status: 500, headers: [], body: [Buffer.from('no')] };

function assigned(server: string): CallEvent {
  return { kind: 'assigned', server };
}

function failed(
  attempt: number,
  ran: 'no' | 'unknown',
  arrival: Arrival = 'server',
  answer = false,
): CallEvent {
  return {
    kind: 'failed', attempt, ran, arrival, message: 'lost', response: answer ? FAILURE : undefined,
  };
}

const UNASSIGNABLE: CallEvent = { kind: 'unassignable', message: 'none', retryAfterMs: 5 };

function formatEffect(effect: CallEffect): string {
  switch (effect.kind) {
    case 'assign': return `assign${effect.isRetry ? ' again' : ''} -${effect.exclude.join('')}`;
    case 'dispatch': return `dispatch ${effect.attempt.number} ${effect.attempt.server}`;
    case 'cancel': return `cancel ${effect.attempt.number}`;
    case 'answer': return `answer ${effect.response.status}`;
    case 'refuse': return `refuse ${effect.refusal.code} ${effect.refusal.ran}`;
  }
}

/** Applies the events in turn and describes the effects of the last one. */
function lastEffects(
  repeatable: boolean,
  maxAttempts: number,
  events: readonly CallEvent[],
): string {
  let state = callState(repeatable, maxAttempts);
  let effects: readonly CallEffect[] = [];
  [{ kind: 'begin' } as const, ...events].forEach((event) => {
    ({ state, effects } = callTransition(state, event));
  });
  return effects.map(formatEffect).join(', ');
}

const CASES: readonly {
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
    events: [assigned('a'), { kind: 'answered', attempt: 1, response: ANSWER }],
    effects: 'answer 200',
  },
  {
    name: 'safe: is retried on another server after a failure',
    safe: true,
    events: [assigned('a'), failed(1, 'unknown')],
    effects: 'assign again -a',
  },
  {
    name: 'unsafe: ends after a failure',
    safe: false,
    events: [assigned('a'), failed(1, 'unknown')],
    effects: 'refuse backend_failed unknown',
  },
  {
    name: 'unsafe: is retried on another server when it has not run',
    safe: false,
    events: [assigned('a'), failed(1, 'no')],
    effects: 'assign again -a',
  },
  {
    name: 'uses no retry budget when no server was reached',
    safe: false,
    events: [assigned('a'), failed(1, 'no', 'nowhere')],
    effects: 'assign -a',
  },
  {
    name: 'uses retry budget after another server has refused it',
    safe: false,
    attempts: 1,
    events: [assigned('a'), failed(1, 'no', 'other_server')],
    effects: 'assign again -a',
  },
  {
    name: 'makes no more attempts than the route allows',
    safe: true,
    attempts: 2,
    events: [assigned('a'), failed(1, 'unknown'), assigned('b'), failed(2, 'unknown')],
    effects: 'refuse backend_failed unknown',
  },
  {
    name: 'does not count servers that were not reached as attempts',
    safe: true,
    attempts: 1,
    events: [assigned('a'), failed(1, 'no', 'nowhere')],
    effects: 'assign -a',
  },
  {
    name: 'passes on a server\'s error response when no attempt succeeds',
    safe: true,
    events: [assigned('a'), failed(1, 'unknown', 'server', true), UNASSIGNABLE],
    effects: 'answer 500',
  },
  {
    name: 'is reported as not run when no server received it',
    safe: false,
    events: [UNASSIGNABLE],
    effects: 'refuse unavailable no',
  },
  {
    name: 'safe: is hedged while the first server is slow',
    safe: true,
    events: [assigned('a'), { kind: 'slow' }],
    effects: 'assign again -a',
  },
  {
    name: 'unsafe: is not hedged',
    safe: false,
    events: [assigned('a'), { kind: 'slow' }],
    effects: '',
  },
  {
    name: 'uses the first response and cancels the other attempt',
    safe: true,
    events: [assigned('a'), { kind: 'slow' }, assigned('b'),
      { kind: 'answered', attempt: 2, response: ANSWER }],
    effects: 'cancel 1, answer 200',
  },
  {
    name: 'waits for the other attempt when one of two fails',
    safe: true,
    events: [assigned('a'), { kind: 'slow' }, assigned('b'), failed(1, 'unknown')],
    effects: '',
  },
  {
    name: 'may have run when its deadline passes during an attempt',
    safe: false,
    events: [assigned('a'), { kind: 'sent', attempt: 1 }, { kind: 'expired' }],
    effects: 'cancel 1, refuse backend_timeout unknown',
  },
  {
    name: 'has not run when its deadline passes before it is sent',
    safe: false,
    events: [assigned('a'), { kind: 'expired' }],
    effects: 'cancel 1, refuse unavailable no',
  },
  {
    name: 'has not run when its deadline passes before it is assigned',
    safe: false,
    events: [{ kind: 'expired' }],
    effects: 'refuse unavailable no',
  },
  {
    name: 'is cancelled when its caller disconnects',
    safe: true,
    events: [assigned('a'), { kind: 'caller_gone' }],
    effects: 'cancel 1',
  },
  {
    name: 'ignores events once it has ended',
    safe: true,
    events: [assigned('a'), { kind: 'caller_gone' },
      { kind: 'answered', attempt: 1, response: ANSWER }],
    effects: '',
  },
];
CASES.forEach(({
  name, safe, attempts = 3, events, effects,
}) => {
  test(`a call ${name}`, (t) => {
    t.is(lastEffects(safe, attempts, events), effects);
  });
});
