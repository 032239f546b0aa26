import test from 'ava';
import type { ClaimOutcome } from '../src/claims/claims.js';
import type { MemoryObjects, ObjectFaults } from '../src/standin/objects.js';
import { NAMES, startLedgers as start } from './fakes/ledgers.js';
import type { LinkFaults } from './fakes/ledgers.js';

function kinds(outcomes: readonly ClaimOutcome[]): readonly string[] {
  return outcomes.map(({ kind }) => kind).sort();
}

/** Enough keys that each instance is the home of some. */
const KEYS = Array.from({ length: 12 }, (_, index) => `key-${index}`);

const settings: readonly [string, (objects: MemoryObjects) => void, Partial<LinkFaults>][] = [
  ['a healthy store', () => undefined, {}],
  ['a slow store', (objects) => objects.setFaults({ latencyMs: 150 }), {}],
  ['lost answers', (objects) => objects.setFaults({ lostAnswers: 0.5, latencyMs: 5 }), {}],
  ['lost writes', (objects) => objects.setFaults({ lostWrites: 0.3, latencyMs: 5 }), {}],
  ['a dead instance', () => undefined, { unreachable: ['b'] }],
  ['homes whose answers are lost', () => undefined, { losingAnswers: NAMES }],
  ['slow links', (objects) => objects.setFaults({ latencyMs: 20 }), { delayMs: 400 }],
];

settings.forEach(([name, setFaults, links]) => {
  test(`with ${name} one of two simultaneous claims of a key is granted`, async (t) => {
    const {
      objects, claim, run, setLinkFaults,
    } = start();
    setFaults(objects);
    setLinkFaults(links);
    const pairs = KEYS.map((key) => Promise.all([claim('a', key), claim('c', key)]));
    const outcomes = await run(Promise.all(pairs), 2_100);
    outcomes.forEach((pair) => t.deepEqual(kinds(pair), ['granted', 'running']));
  });
});

test('instances that disagree about the home still grant a key once', async (t) => {
  const { objects, claim, run } = start(1, (name) => [name]);
  objects.setFaults({ latencyMs: 10 });
  const outcomes = await run(Promise.all(KEYS.map((key) => (
    Promise.all(NAMES.map((name) => claim(name, key)))))));
  outcomes.forEach((all) => t.deepEqual(kinds(all), ['granted', 'running', 'running']));
});

test('a retry gets the status, another body is refused, a released key is free', async (t) => {
  const {
    clock, ledgers, claim, run,
  } = start();
  const first = await run(claim('a', 'k'));
  t.is((await run(claim('b', 'k', 'other'))).kind, 'reused_key');
  t.like(await run(claim('b', 'k')), { kind: 'running', owner: 'a', request: 'r1' });
  if (first.kind !== 'granted') return;
  ledgers.get('a')!.complete(first.ref, 201);
  await clock.advance(2_000);
  t.like(await run(claim('c', 'k')), { kind: 'done', owner: 'a', status: 201 });
  const second = await run(claim('a', 'l'));
  if (second.kind === 'granted') ledgers.get('a')!.release(second.ref);
  await clock.advance(2_000);
  t.is((await run(claim('b', 'l'))).kind, 'granted');
});

test('concurrent claims are committed in batches', async (t) => {
  const { objects, claim, run } = start(1, () => ['a']);
  objects.setFaults({ latencyMs: 20 });
  const claims = Array.from({ length: 640 }, (_, index) => claim('a', `k${index}`));
  t.true((await run(Promise.all(claims))).every(({ kind }) => kind === 'granted'));
  t.true(objects.counts().writes <= 128, String(objects.counts().writes));
});

const outages: readonly [string, Partial<ObjectFaults>][] = [
  ['unavailable', { outage: true }],
  ['losing every write', { lostWrites: 1 }],
  ['far too slow', { latencyMs: 8_000 }],
  ['losing answers and returning stale reads', { lostAnswers: 1, staleReads: true }],
];

outages.forEach(([name, faults]) => {
  NAMES.forEach((other) => {
    test(`store ${name}: claims end in time, and ${other} can claim the keys later`, async (t) => {
      const {
        clock, objects, claim, run,
      } = start();
      await run(Promise.all(KEYS.map((key) => claim('a', `before-${key}`))));
      objects.setFaults(faults);
      const refused = KEYS.map((key) => claim('a', key));
      let ended = 0;
      refused.forEach((outcome) => outcome.then(() => {
        ended += 1;
      }, () => undefined));
      await clock.advance(2_000);
      t.is(ended, KEYS.length);
      t.deepEqual(new Set(kinds(await Promise.all(refused))), new Set(['unavailable']));
      objects.setFaults({
        outage: false, lostWrites: 0, lostAnswers: 0, latencyMs: 0, staleReads: false,
      });
      await clock.advance(10_000);
      const retried = await run(Promise.all(KEYS.map((key) => claim(other, key))));
      t.deepEqual(new Set(kinds(retried)), new Set(['granted']));
    });
  });
});

test('a claim that is written after it was abandoned is disowned for a retry', async (t) => {
  const {
    clock, claim, run, setLinkFaults, objects,
  } = start();
  setLinkFaults({ delayMs: 5_000 });
  objects.setFaults({ outage: true });
  const refused = KEYS.map((key) => claim('a', key));
  await clock.advance(2_000);
  t.deepEqual(new Set(kinds(await Promise.all(refused))), new Set(['unavailable']));
  objects.setFaults({ outage: false });
  await clock.advance(10_000);
  setLinkFaults({ delayMs: 0 });
  const retried = await run(Promise.all(KEYS.map((key) => claim('b', key))));
  t.deepEqual(new Set(kinds(retried)), new Set(['granted']));
});

test('a write that takes effect after its claim was released does not restore it', async (t) => {
  const {
    clock, objects, claim, run, setLinkFaults,
  } = start();
  await run(Promise.all(KEYS.map((key) => claim('a', `before-${key}`))));
  objects.setFaults({ lateWritesMs: 30_000 });
  const refused = await run(Promise.all(KEYS.map((key) => claim('a', key))));
  t.deepEqual(new Set(kinds(refused)), new Set(['unavailable']));
  objects.setFaults({ lateWritesMs: 0 });
  await clock.advance(60_000);
  setLinkFaults({ unreachable: ['a'] });
  const retried = await run(Promise.all(KEYS.map((key) => claim('b', key))));
  t.deepEqual(new Set(kinds(retried)), new Set(['granted']));
});

test('a claim that reaches its home after its release is disowned for a retry', async (t) => {
  const {
    clock, ledgers, claim, run, setLinkFaults,
  } = start();
  setLinkFaults({ delayMs: 5_000 });
  const granted = await run(Promise.all(KEYS.map((key) => claim('a', key))));
  setLinkFaults({ delayMs: 0 });
  granted.forEach((outcome) => {
    if (outcome.kind === 'granted') ledgers.get('a')!.release(outcome.ref);
  });
  await clock.advance(10_000);
  const retried = await run(Promise.all(KEYS.map((key) => claim('b', key))));
  t.deepEqual(new Set(kinds(retried)), new Set(['granted']));
});

test('the homes of shards follow the live members', async (t) => {
  let members: readonly string[] = ['a'];
  const { ledgers, claim, run } = start(1, () => members);
  t.is(ledgers.get('a')!.homeShare, 1);
  await run(Promise.all(KEYS.map((key) => claim('a', key))));
  members = NAMES;
  const parts = NAMES.map((name) => ledgers.get(name)!.homeShare);
  t.is(parts.reduce((sum, part) => sum + part, 0), 1);
  t.true(parts.every((part) => part > 0.15 && part < 0.55), parts.join());
  const retried = await run(Promise.all(KEYS.map((key) => claim('c', key))));
  t.deepEqual(new Set(kinds(retried)), new Set(['running']));
});

test('a completion is written soon even if no claim follows', async (t) => {
  const {
    clock, objects, ledgers, claim, run,
  } = start();
  const outcome = await run(claim('a', 'k'));
  const before = objects.counts().writes;
  if (outcome.kind === 'granted') ledgers.get('a')!.complete(outcome.ref, 200);
  await clock.advance(1_000);
  t.is(objects.counts().writes, before + 1);
});

test('while its owner is dead a running key stays taken', async (t) => {
  const { claim, run, setLinkFaults } = start();
  await run(claim('a', 'k'));
  setLinkFaults({ unreachable: ['a'] });
  t.like(await run(claim('b', 'k')), { kind: 'running', owner: 'a' });
});
