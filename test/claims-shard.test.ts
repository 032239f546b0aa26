import test from 'ava';
import {
  applyAll, applyOperation, EMPTY_SHARD, encodeShard, parseShard, stampWrite,
} from '../src/claims/shard.js';
import type { Operation, Outcome, Shard } from '../src/claims/shard.js';

const HOUR_MS = 3_600_000;

function claim(nonce: string, key = 'k', bodyHash = 'b'): Operation {
  return {
    kind: 'claim', key, bodyHash, nonce, owner: 'a', request: `request-${nonce}`,
  };
}

function outcomeOf(shard: Shard, operation: Operation, now = 0): Outcome['kind'] {
  return applyOperation(shard, operation, now).outcome.kind;
}

const complete = (nonce: string): Operation => ({
  kind: 'complete', key: 'k', nonce, status: 200,
});
const release = (nonce: string): Operation => ({ kind: 'release', key: 'k', nonce });

const cases: readonly [string, readonly Operation[], Operation, number, Outcome['kind']][] = [
  ['a new key', [], claim('1'), 0, 'granted'],
  ['a key that is taken', [claim('1')], claim('2'), 0, 'running'],
  ['its own nonce again', [claim('1')], claim('1'), 0, 'granted'],
  ['a key with another body', [claim('1')], claim('2', 'k', 'other'), 0, 'reused_key'],
  ['a key whose request ended', [claim('1'), complete('1')], claim('2'), 0, 'done'],
  ['a key that another completes', [claim('1'), complete('2')], claim('2'), 0, 'running'],
  ['a released key', [claim('1'), release('1')], claim('2'), 0, 'granted'],
  ['a key that another releases', [claim('1'), release('2')], claim('2'), 0, 'running'],
  ['a key that runs for an hour', [claim('1')], claim('2'), HOUR_MS, 'running'],
  ['an expired key', [claim('1')], claim('2'), 3 * HOUR_MS, 'granted'],
  ['a key that ended an hour ago', [claim('1'), complete('1')], claim('2'), HOUR_MS, 'granted'],
];

cases.forEach(([name, before, operation, now, outcome]) => {
  test(`claiming ${name} is ${outcome}`, (t) => {
    t.is(outcomeOf(applyAll(EMPTY_SHARD, before, 0).shard, operation, now), outcome);
  });
});

test('a full shard refuses new claims and evicts none', (t) => {
  const operations = Array.from({ length: 5_001 }, (_, index) => claim(String(index), `k${index}`));
  const { shard, outcomes } = applyAll(EMPTY_SHARD, operations, 0);
  t.is(outcomes.at(-1)?.kind, 'unavailable');
  t.is(outcomeOf(shard, claim('x', 'k0')), 'running');
  t.is(stampWrite(shard, 'w', 3 * HOUR_MS).entries.size, 0);
  t.true(Buffer.byteLength(encodeShard(shard)) < 1_000_000);
});

test('a shard parses as it was encoded, and invalid text is rejected', (t) => {
  const { shard } = applyAll(EMPTY_SHARD, [claim('1'), claim('2', 'l'), complete('1')], 0);
  const stamped = stampWrite(shard, 'w', 0);
  t.deepEqual(parseShard(encodeShard(stamped)).unwrapOr(EMPTY_SHARD), stamped);
  t.true(parseShard('{}').isErr());
  t.true(parseShard('[').isErr());
});
