import test from 'ava';
import { Random } from '../src/common/random.js';
import type { ObjectFaults } from '../src/standin/objects.js';
import { settledPut } from '../src/store/settle.js';
import { memoryObjects } from './fakes/objects.js';

const GIVE_UP_MS = 3_000;

/**
 * Writes `mine` to an object under `faults`, which are replaced by `then` after 200 ms. With
 * `rival`, another writer has changed the object to `other` before.
 */
async function write(faults: Partial<ObjectFaults>, then?: Partial<ObjectFaults>, rival = false) {
  const { clock, objects } = memoryObjects();
  const before = await objects.put('a', 'old', { kind: 'absent' }, 'status');
  const version = before.isOk() ? before.value.version : 0;
  const expected = { kind: 'version', version } as const;
  if (rival) await objects.put('a', 'other', expected, 'status');
  objects.setFaults(faults);
  if (then) clock.schedule(() => objects.setFaults(then), 200);
  const settling = settledPut({ api: objects, scheduler: clock, random: Random.of(3) }, {
    name: 'a',
    value: 'mine',
    expected,
    callClass: 'claims',
    appearsIn: (value) => value.includes('mine'),
  }, GIVE_UP_MS);
  await clock.advance(GIVE_UP_MS);
  objects.setFaults({ outage: false, staleReads: false });
  const after = await objects.get('a', 'status');
  const { kind } = await settling;
  return { kind, value: after.isOk() ? after.value.value : '' };
}

const cases: readonly [string, Parameters<typeof write>, string, string][] = [
  ['no fault', [{}], 'applied', 'mine'],
  ['a lost answer', [{ lostAnswers: 1 }], 'applied', 'mine'],
  ['a lost write', [{ lostWrites: 1 }, { lostWrites: 0 }], 'applied', 'mine'],
  ['persistently lost writes', [{ lostWrites: 1 }], 'unsettled', 'old'],
  ['an outage', [{ outage: true }, { outage: false }], 'refused', 'old'],
  ['an earlier write of another writer', [{}, undefined, true], 'superseded', 'other'],
  ['a lost answer and stale reads', [{ lostAnswers: 1, staleReads: true }], 'unsettled', 'mine'],
  [
    'a lost answer and stale reads for a while',
    [{ lostAnswers: 1, staleReads: true }, { staleReads: false }], 'applied', 'mine',
  ],
];

cases.forEach(([name, setting, kind, value]) => {
  test(`a write that meets ${name} is ${kind}`, async (t) => {
    t.deepEqual(await write(...setting), { kind, value });
  });
});

test('a write that is followed by another is still recognised as applied', async (t) => {
  const { clock, objects } = memoryObjects();
  objects.setFaults({ lostAnswers: 1, latencyMs: 20 });
  const settled = settledPut({ api: objects, scheduler: clock, random: Random.of(3) }, {
    name: 'a',
    value: 'mine',
    expected: { kind: 'absent' },
    callClass: 'claims',
    appearsIn: (value) => value.includes('mine'),
  }, GIVE_UP_MS);
  await clock.advance(15);
  const next = objects.put('a', 'mine and other', { kind: 'version', version: 1 }, 'status');
  await clock.advance(GIVE_UP_MS);
  await next;
  const settlement = await settled;
  t.is(settlement.kind === 'applied' && settlement.object.value, 'mine and other');
});
