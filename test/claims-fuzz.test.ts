import { fc, testProp } from '@fast-check/ava';
import type { ClaimReference } from '../src/claims/claims.js';
import { NO_FAULTS } from '../src/standin/objects.js';
import { NAMES, startLedgers } from './fakes/ledgers.js';

const KEYS = ['x', 'y', 'z'];

const instance = fc.constantFrom(...NAMES);
const key = fc.constantFrom(...KEYS);
const fraction = fc.constantFrom(0, 0, 0.5, 1);
const step = fc.oneof(
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('claim' as const), instance, key }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom('complete', 'release'), key }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const), ms: fc.constantFrom(1, 20, 300, 2_500),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('faults' as const),
      faults: fc.record({
        outage: fc.boolean(),
        staleReads: fc.boolean(),
        latencyMs: fc.constantFrom(0, 30, 3_000),
        lostAnswers: fraction,
        lostWrites: fraction,
        lateWritesMs: fc.constantFrom(0, 0, 700, 9_000),
      }),
      linkFaults: fc.record({
        unreachable: fc.subarray(NAMES),
        losingAnswers: fc.subarray(NAMES),
        delayMs: fc.constantFrom(0, 100, 900),
      }),
    }),
  },
);

/** The last claim granted for a key; it holds the key until it is released. */
interface Grant { readonly owner: string; readonly ref: ClaimReference; released: boolean }

testProp(
  'no key is granted twice, and no refused claim keeps one',
  [fc.array(step, { maxLength: 60, size: 'large' }), fc.integer({ min: 1, max: 1_000 })],
  async (t, steps, seed) => {
    const {
      clock, objects, ledgers, claim, setLinkFaults,
    } = startLedgers(seed);
    const grants = new Map<string, Grant>();
    const claimInto = (name: string, wanted: string) => claim(name, wanted).then((outcome) => {
      if (outcome.kind !== 'granted') return outcome;
      const before = grants.get(wanted);
      t.true(before === undefined || before.released, `${wanted} was granted twice`);
      grants.set(wanted, { owner: name, ref: outcome.ref, released: false });
      return outcome;
    });
    const open: Promise<unknown>[] = [];
    // eslint-disable-next-line no-restricted-syntax -- one step after the other
    for (const next of steps) {
      if (next.kind === 'claim') open.push(claimInto(next.instance, next.key));
      // eslint-disable-next-line no-await-in-loop
      else if (next.kind === 'advance') await clock.advance(next.ms);
      else if (next.kind === 'faults') {
        objects.setFaults(next.faults);
        setLinkFaults(next.linkFaults);
      } else {
        const grant = grants.get(next.key);
        const ledger = grant && ledgers.get(grant.owner);
        if (grant && ledger && next.kind === 'complete') ledger.complete(grant.ref, 200);
        else if (grant && ledger && !grant.released) {
          grant.released = true;
          ledger.release(grant.ref);
        }
      }
    }
    objects.setFaults(NO_FAULTS);
    setLinkFaults({ unreachable: [], losingAnswers: [], delayMs: 0 });
    await clock.advance(25_000);
    await Promise.all(open);
    const last = KEYS.map((wanted) => {
      const held = grants.get(wanted);
      return { wanted, free: held === undefined || held.released, outcome: claim('b', wanted) };
    });
    await clock.advance(2_000);
    await Promise.all(last.map(async ({ wanted, free, outcome }) => {
      t.is((await outcome).kind === 'granted', free, wanted);
    }));
  },
  { numRuns: 150, seed: 21 },
);
