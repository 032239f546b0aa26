import test from 'ava';
import type { Favour } from '../src/configuration/configuration.js';
import {
  INITIAL_DETECTOR, detect, firstTokenMs, healthOf, suspectAfterMs,
} from '../src/engines/detector.js';
import type { Observation, EngineTiming } from '../src/engines/detector.js';

const silence = (silentMs: number): Observation => ({ kind: 'silence', silentMs });
const MISSED: Observation = { kind: 'unanswered', to: 'ping' };
const ANSWERED: Observation = { kind: 'answered', to: 'ping' };
const REPORTED: Observation = { kind: 'answered', to: 'report' };
const TOKEN: Observation = { kind: 'token' };

function timing(favour: Favour, stepMs = 2, maxGapMs = 0): EngineTiming {
  return { favour, stepMs, maxGapMs };
}

function effectsOf(favour: Favour, observations: readonly Observation[]): string {
  let state = INITIAL_DETECTOR;
  const effects = observations.flatMap((observation) => {
    const detection = detect(state, observation, timing(favour));
    state = detection.state;
    return detection.effects.map(({ kind }) => kind);
  });
  return [...effects, healthOf(state)].join(' ');
}

const TABLE: readonly [string, Favour, readonly Observation[], string][] = [
  ['a short silence', 'latency', [silence(39)], 'up'],
  ['a long silence suspects and pings', 'latency', [silence(40)], 'suspect ping suspect'],
  ['a silence is suspected once', 'latency', [silence(40), silence(50)], 'suspect ping suspect'],
  ['a silence below the higher threshold', 'resources', [silence(140)], 'up'],
  ['a silence above the higher threshold', 'resources', [silence(150)], 'suspect ping suspect'],
  ['one missed ping is repeated', 'latency', [silence(40), MISSED], 'suspect ping ping suspect'],
  ['two missed pings lose the engine', 'latency', [silence(40), MISSED, MISSED],
    'suspect ping ping lose down'],
  ['an answered ping does not end the silence', 'latency', [silence(40), ANSWERED],
    'suspect ping suspect'],
  ['an answered ping resets the count of missed ones', 'latency',
    [silence(40), MISSED, ANSWERED, silence(90), MISSED], 'suspect ping ping ping ping suspect'],
  ['a token ends the suspicion', 'latency', [silence(40), TOKEN],
    'suspect ping recovered up'],
  ['the end of the silent streams ends the suspicion', 'latency',
    [silence(40), ANSWERED, silence(0)], 'suspect ping recovered up'],
  ['a miss while the daemon was paused does not count', 'latency',
    [silence(40), { kind: 'inconclusive' }, { kind: 'inconclusive' }], 'suspect ping suspect'],
  ['a refused connection loses the engine at once', 'resources', [{ kind: 'connection_refused' }],
    'lose down'],
  ['a lost engine is lost once', 'latency',
    [{ kind: 'connection_refused' }, { kind: 'connection_refused' }, MISSED], 'lose down'],
  ['a lost engine that reports is up', 'latency', [{ kind: 'connection_refused' }, REPORTED],
    'lose recovered up'],
  ['a missed report of an idle engine pings it', 'latency', [{ kind: 'unanswered', to: 'report' }],
    'ping suspect'],
];

TABLE.forEach(([title, favour, observations, expected]) => {
  test(`${favour}: ${title}`, (t) => {
    t.is(effectsOf(favour, observations), expected);
  });
});

test('the threshold depends on the step and the longest gap, within bounds', (t) => {
  t.is(suspectAfterMs(timing('latency', 2)), 40);
  t.is(suspectAfterMs(timing('latency', 10)), 120);
  t.is(suspectAfterMs(timing('latency', 2, 100)), 150);
  t.is(suspectAfterMs(timing('latency', 2, 10_000)), 300);
  t.is(suspectAfterMs(timing('resources', 3)), 150);
});

test('the time allowed for a first token covers its prompt and the queue', (t) => {
  const idle = { waiting: 0, full: false };
  const base = firstTokenMs(timing('latency'), 0, idle);
  t.true(firstTokenMs(timing('latency'), 4_000, idle) >= base + 400);
  t.true(firstTokenMs(timing('latency'), 0, { waiting: 3, full: false }) >= base + 5_000);
  t.true(firstTokenMs(timing('latency'), 0, { waiting: 0, full: true }) >= base + 5_000);
});
