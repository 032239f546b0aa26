import test from 'ava';
import type { Call } from '../src/relay/call.js';
import { Durations } from '../src/relay/durations.js';

function callOf(service: string, outputTokens = 100): Call {
  const fields = { outputTokens } as Call['fields'];
  return {
    service: { name: service, engine: undefined, healthPath: undefined }, fields, receivedAt: 0,
  } as Call;
}

test('a stream that lost its engines does not make others look too long for a stop', (t) => {
  const durations = Durations.of();
  [4_000, 30_000, 4_100, 3_900].forEach((restMs, index) => (
    durations.recordStream(callOf('s'), 500, restMs, index)));
  t.true(durations.expectedMs(callOf('s'), 10)! <= 4_600 + 1);
  // One with half of the tokens takes half of the time after its first event.
  t.true(durations.expectedMs(callOf('s', 50), 10)! <= 2_550 + 1);
  t.is(durations.expectedMs(callOf('s', 200), 10), 500 + 2 * 4_100);
});

test('what is known of durations ages out, and is kept for a bounded number of services', (t) => {
  const durations = Durations.of();
  durations.recordAnswer(callOf('old'), 20);
  t.is(durations.expectedMs(callOf('old'), 60_000), 20);
  t.is(durations.expectedMs(callOf('old'), 60_021), undefined);
  for (let index = 0; index < 300; index += 1) durations.recordAnswer(callOf(`s${index}`), 20);
  t.is(durations.expectedMs(callOf('s0'), 30), undefined);
  t.is(durations.expectedMs(callOf('s299'), 30), 20);
});
