import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Random } from '../src/common/random.js';
import type { MemoryObjects } from '../src/standin/objects.js';
import { follow } from '../src/store/follow.js';
import { memoryObjects } from './fakes/objects.js';

function start(t: ExecutionContext) {
  const { clock, objects } = memoryObjects();
  const seen: string[] = [];
  const counts = { heard: 0, lost: 0 };
  const subscription = follow('c', {
    api: objects, scheduler: clock, random: Random.of(5), callClass: 'configuration',
  }).subscribe((event) => {
    if (event.kind === 'put') seen.push(event.object.value);
    else if (event.kind === 'delete') seen.push(`-${event.name}`);
    else counts[event.kind] += 1;
  });
  t.teardown(() => subscription.unsubscribe());
  return {
    clock, objects, seen, counts,
  };
}

async function write(objects: MemoryObjects, value: string, name = 'c') {
  const held = await objects.get(name, 'status');
  const expected = held.isOk()
    ? { kind: 'version', version: held.value.version } as const
    : { kind: 'absent' } as const;
  await objects.put(name, value, expected, 'status');
}

test('changes arrive once and in order across renewed watches and polls', async (t) => {
  const { clock, objects, seen } = start(t);
  await clock.advance(1_000);
  const values = Array.from({ length: 30 }, (_, index) => String(index));
  // eslint-disable-next-line no-restricted-syntax -- one write after another
  for (const value of values) {
    await write(objects, value); // eslint-disable-line no-await-in-loop
    await write(objects, value, 'other'); // eslint-disable-line no-await-in-loop
    await clock.advance(7_000); // eslint-disable-line no-await-in-loop
  }
  t.deepEqual(seen, values);
});

test('the poll finds a change that a silent watch missed', async (t) => {
  const { clock, objects, seen } = start(t);
  await clock.advance(1_000);
  objects.setFaults({ silentWatches: true });
  await write(objects, '1');
  await clock.advance(80_000);
  t.deepEqual(seen, ['1']);
});

test('renewing a watch delivers a change that it missed', async (t) => {
  const { clock, objects, seen } = start(t);
  await clock.advance(1_000);
  objects.setFaults({ silentWatches: true });
  await write(objects, '1');
  objects.setFaults({ silentWatches: false });
  await clock.advance(25_000);
  t.deepEqual(seen, ['1']);
});

test('following recovers from compaction and from a long outage', async (t) => {
  const {
    clock, objects, seen, counts,
  } = start(t);
  await clock.advance(1_000);
  await write(objects, '1');
  await write(objects, '', 'other');
  objects.compact();
  await write(objects, '2');
  await clock.advance(2_000);
  t.deepEqual(seen, ['1', '2']);
  objects.setFaults({ outage: true });
  const before = objects.counts();
  await clock.advance(3_600_000);
  const after = objects.counts();
  t.true(counts.lost > 0);
  t.true(after.reads + after.watches - before.reads - before.watches < 3_600);
  objects.setFaults({ outage: false });
  await write(objects, '3');
  await clock.advance(6_000);
  t.deepEqual(seen, ['1', '2', '3']);
});

test('stale reads do not revert changes, and a removal is detected', async (t) => {
  const { clock, objects, seen } = start(t);
  await write(objects, '1');
  objects.setFaults({ staleReads: true });
  objects.setFaults({ staleReads: false });
  await clock.advance(1_000);
  objects.setFaults({ staleReads: true });
  await objects.put('c', '2', { kind: 'version', version: 1 }, 'status');
  await clock.advance(200_000);
  objects.setFaults({ staleReads: false, silentWatches: true });
  await objects.remove('c', 2, 'status');
  await clock.advance(200_000);
  t.deepEqual(seen, ['1', '2', '-c']);
});

test('without changes one instance makes at most 0.08 calls per second', async (t) => {
  const { clock, objects } = start(t);
  await clock.advance(600_000);
  const { reads, watches } = objects.counts();
  t.true(reads + watches < 0.08 * 600, `${reads} reads, ${watches} watches`);
});
