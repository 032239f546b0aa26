import test from 'ava';
import type { MemoryObjects, ObjectFaults } from '../src/standin/objects.js';
import type { StoreError, WatchEvent } from '../src/store/objects.js';
import { codeOf, expectOk, memoryObjects } from './fakes/objects.js';

const ABSENT = { kind: 'absent' } as const;

function watchInto(objects: MemoryObjects, from: number) {
  const seen: (WatchEvent['kind'] | StoreError['code'])[] = [];
  objects.watch('a', from, 'status').subscribe({
    next: (event) => {
      if (event.kind !== 'opened') seen.push(event.kind);
    },
    error: (error: StoreError) => seen.push(error.code),
  });
  return seen;
}

test('of competing conditional updates one succeeds, and versions increase', async (t) => {
  const { objects } = memoryObjects();
  const first = expectOk(await objects.put('a', '1', ABSENT, 'status'));
  t.is(codeOf(await objects.put('a', '2', ABSENT, 'status')), 'conflict');
  const expected = { kind: 'version', version: first.version } as const;
  const second = expectOk(await objects.put('a', '3', expected, 'status'));
  t.true(second.version > first.version);
  t.is(codeOf(await objects.put('a', '4', expected, 'status')), 'conflict');
  t.is(expectOk(await objects.get('a', 'status')).value, '3');
  t.is(codeOf(await objects.remove('a', 1, 'status')), 'conflict');
  t.true((await objects.remove('a', second.version, 'status')).isOk());
});

const writes: readonly [Partial<ObjectFaults>, StoreError['code'], boolean][] = [
  [{ outage: true }, 'unavailable', false],
  [{ lostAnswers: 1 }, 'ambiguous', true],
  [{ lostWrites: 1 }, 'ambiguous', false],
  [{ writesPerSecond: 1 }, 'rate_limited', false],
];

writes.forEach(([faults, code, written]) => {
  test(`with ${Object.keys(faults)[0]} a write fails as ${code}`, async (t) => {
    const { objects } = memoryObjects();
    await objects.put('other', '', ABSENT, 'status');
    objects.setFaults(faults);
    t.is(codeOf(await objects.put('a', '1', ABSENT, 'status')), code);
    objects.setFaults({ outage: false });
    t.is((await objects.get('a', 'status')).isOk(), written);
    t.is(objects.counts().writes, 2);
  });
});

test('stale reads, silent watches and compaction are simulated', async (t) => {
  const { objects } = memoryObjects();
  const seen = watchInto(objects, 0);
  objects.setFaults({ staleReads: true, silentWatches: true });
  await objects.put('a', '1', ABSENT, 'status');
  t.is(codeOf(await objects.get('a', 'status')), 'not_found');
  objects.setFaults({ staleReads: false, silentWatches: false });
  await objects.put('ab', '1', ABSENT, 'status');
  t.deepEqual(seen, ['put']);
  t.deepEqual(watchInto(objects, 0), ['put', 'put']);
  objects.compact();
  t.deepEqual(seen, ['put', 'version_too_old']);
  t.deepEqual(watchInto(objects, 0), ['version_too_old']);
  t.is(objects.counts().watches, 3);
});

test('with latency a write takes effect halfway and is answered at the end', async (t) => {
  const { clock, objects } = memoryObjects();
  objects.setFaults({ latencyMs: 100 });
  let answered = false;
  const put = objects.put('a', '1', ABSENT, 'status').then(() => {
    answered = true;
  });
  await clock.advance(60);
  t.false(answered);
  objects.setFaults({ latencyMs: 0 });
  t.is(codeOf(await objects.get('a', 'status')), 'ok');
  await clock.advance(40);
  await put;
  t.true(answered);
});
