import { fc, testProp } from '@fast-check/ava';
import { silentLog } from '../src/common/log.js';
import { Random } from '../src/common/random.js';
import { Follower } from '../src/configuration/follower.js';
import { Publisher } from '../src/configuration/publisher.js';
import type { Publication } from '../src/configuration/publisher.js';
import { NO_FAULTS } from '../src/standin/objects.js';
import { expectOk, memoryObjects } from './fakes/objects.js';

const NAMES = ['a', 'b', 'c'];
const FILES = ['x.toml', 'y.toml'];
const BASE = '[deployment]\nname = "lisbon"\nzones = ["lis-a"]\n';

const file = fc.constantFrom(...FILES);
const operator = fc.constantFrom(0, 1);
const probability = fc.constantFrom(0, 0, 0.5, 1);
const step = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('put' as const), operator, file }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('remove' as const), operator, file }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('faults' as const),
      faults: fc.record({
        outage: fc.boolean(),
        staleReads: fc.boolean(),
        silentWatches: fc.boolean(),
        latencyMs: fc.constantFrom(0, 30, 3_000),
        lostAnswers: probability,
        lostWrites: probability,
        lateWritesMs: fc.constantFrom(0, 0, 6_000),
      }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('compact' as const) }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('restart' as const), name: fc.constantFrom(...NAMES),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('gossip' as const), names: fc.subarray(NAMES),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const), ms: fc.constantFrom(1, 100, 4_000, 70_000),
    }),
  },
);

/** A change requested by an operator; `text` is undefined for a removal. */
interface Edit {
  readonly file: string;
  readonly text: string | undefined;
  readonly publication: Promise<Publication>;
}

function startDaemons(seed: number) {
  const { clock, objects } = memoryObjects(seed);
  const followers = new Map<string, Follower>();
  const regressions: string[] = [];
  const fetch = async (address: string): Promise<string> => {
    const current = followers.get(address)?.current();
    if (!current) throw new Error('nothing in force');
    return current.text;
  };
  const stops = new Map<string, () => void>();
  const join = (name: string) => {
    stops.get(name)?.();
    const follower = Follower.of({
      name,
      api: objects,
      peers: { fetch },
      scheduler: clock,
      random: Random.of(seed),
      log: silentLog,
    });
    let last = 0;
    follower.configurations.subscribe(({ revision }) => {
      if (revision <= last) regressions.push(`${name} went from ${last} to ${revision}`);
      last = revision;
    });
    const running = follower.start();
    stops.set(name, () => running.unsubscribe());
    followers.set(name, follower);
  };
  const gossip = (names: readonly string[]) => names.forEach((name) => {
    const others = names.filter((other) => other !== name);
    if (others.length === 0) return;
    followers.get(name)!.updatePeers(others.map((other) => (
      { address: other, revision: followers.get(other)!.current()?.revision ?? 0 })));
    followers.get(name)!.recordPeerContact();
  });
  const publishers = [1, 2, 3].map((operatorSeed) => Publisher.of({
    api: objects, scheduler: clock, random: Random.of(seed + operatorSeed), wallClock: () => 0,
  }));
  return {
    clock, objects, followers, publishers, join, gossip, regressions,
  };
}

testProp(
  'no accepted edit is lost, revisions only increase, and all daemons reach the last one',
  [fc.array(step, { maxLength: 40, size: 'large' }), fc.integer({ min: 1, max: 1_000 })],
  async (t, steps, seed) => {
    const {
      clock, objects, followers, publishers, join, gossip, regressions,
    } = startDaemons(seed);
    await publishers[2]!.put('0.toml', BASE, { who: 'ana' });
    NAMES.forEach(join);
    const edits: Edit[] = [];
    // eslint-disable-next-line no-restricted-syntax -- steps run in sequence
    for (const next of steps) {
      switch (next.kind) {
        case 'put': {
          const text = `models.m.version = "${edits.length}"\n`;
          const publication = publishers[next.operator]!.put(next.file, text, { who: 'ben' });
          edits.push({ file: next.file, text, publication });
          break;
        }
        case 'remove': {
          const publication = publishers[next.operator]!.remove(next.file, { who: 'ben' });
          edits.push({ file: next.file, text: undefined, publication });
          break;
        }
        case 'faults':
          objects.setFaults(next.faults);
          break;
        case 'compact':
          objects.compact();
          break;
        case 'restart':
          join(next.name);
          break;
        case 'gossip':
          gossip(next.names);
          break;
        case 'advance':
          await clock.advance(next.ms); // eslint-disable-line no-await-in-loop
          break;
      }
    }
    objects.setFaults(NO_FAULTS);
    await clock.advance(100_000);
    gossip(NAMES);
    await clock.advance(1_000);
    const stored = expectOk(await publishers[2]!.pull());
    const applied = await Promise.all(edits.map(async ({ publication, ...edit }) => {
      const result = await publication;
      if (result.kind === 'accepted') return { ...edit, revision: result.revision };
      if (result.kind !== 'unsettled') return { ...edit, revision: 0 };
      const entry = stored.history.find(({ writeId }) => writeId === result.writeId);
      return { ...edit, revision: entry?.revision ?? 0 };
    }));
    FILES.forEach((name) => {
      const last = applied.filter((edit) => edit.file === name && edit.revision > 0)
        .sort((left, right) => right.revision - left.revision)[0];
      t.is(stored.files[name], last?.text, name);
    });
    t.deepEqual(regressions, []);
    NAMES.forEach((name) => t.is(followers.get(name)!.status().revision, stored.revision, name));
  },
  { numRuns: 100, seed: 31 },
);
