import test from 'ava';
import { SeenVersions } from '../src/store/versions.js';

function put(name: string, version: number) {
  return { name, version, value: `${name}${version}` };
}

test('a change made between two pages of a listing is not skipped by the next watch', (t) => {
  const seen = SeenVersions.of();
  // The first page was read at version 9; then `a` changed, and `b` before its page was read.
  seen.admitListing({ version: 9, objects: [put('a', 3), put('b', 11)] });
  t.is(seen.position, 9);
  t.is(seen.admit({ kind: 'put', object: put('a', 10) }).length, 1);
  t.is(seen.admit({ kind: 'put', object: put('b', 11) }).length, 0);
});

test('an older listing neither reverts a change nor brings a deleted object back', (t) => {
  const seen = SeenVersions.of();
  seen.admitListing({ version: 4, objects: [put('a', 3), put('b', 4)] });
  seen.admit({ kind: 'delete', name: 'a', version: 6 });
  seen.admit({ kind: 'put', object: put('b', 7) });
  t.deepEqual(seen.admitListing({ version: 5, objects: [put('a', 3), put('b', 4)] }), []);
  t.deepEqual(seen.listing, { version: 7, objects: [put('b', 7)] });
  t.is(seen.newestChange, 7);
});
