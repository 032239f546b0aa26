/** Which parts the evidence of engine crashes points to. */
import test from 'ava';
import { fc, testProp } from '@fast-check/ava';
import {
  EVIDENCE_MS, NO_EVIDENCE, withAnswer, withCrash, withoutExpired,
} from '../src/limits/crashevidence.js';
import type { Crash, CrashEvidence } from '../src/limits/crashevidence.js';
import { partQuarantines } from '../src/limits/partquarantine.js';
import { quarantineOf, quarantines } from '../src/limits/quarantine.js';
import { requestQuarantines } from '../src/limits/requestquarantine.js';

interface Answered { readonly at: number; readonly answered: string }
type Step = Crash | Answered;

/** A crash of an engine that had begun to answer a request with these parts. */
function crash(server: string, at: number, parts: string, change: Partial<Crash> = {}): Crash {
  return {
    server,
    at,
    aliveAt: -Infinity,
    started: true,
    parts: parts.split(','),
    requests: [],
    previous: [],
    ...change,
  };
}

function answered(at: number, part: string): Answered {
  return { at, answered: part };
}

function waiting(server: string, at: number, parts: string): Crash {
  return crash(server, at, parts, { started: false });
}

function evidenceOf(steps: readonly Step[]): CrashEvidence {
  return steps.reduce((evidence, step) => ('answered' in step
    ? withAnswer(evidence, step.answered, step.at)
    : withCrash(evidence, step, step.at)), NO_EVIDENCE);
}

function quarantinedParts(evidence: CrashEvidence): readonly string[] {
  return partQuarantines(evidence).map(({ parts }) => parts.join('+'));
}

function quarantinedRequests(evidence: CrashEvidence): readonly string[] {
  return requestQuarantines(evidence).map(({ request }) => request);
}

interface Scenario {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly parts: readonly string[];
}

const SCENARIOS: readonly Scenario[] = [
  {
    name: 'two crashes prove nothing',
    steps: [crash('e1', 1_000, 'bad'), crash('e2', 2_000, 'bad')],
    parts: [],
  },
  {
    name: 'three crashes, one after the other',
    steps: [crash('e1', 1_000, 'bad'), crash('e2', 2_000, 'bad'), crash('e3', 3_000, 'bad')],
    parts: ['bad'],
  },
  {
    name: 'one request that is sent on at once each time',
    steps: [1_000, 1_020, 1_040].map((at, index) => (
      crash(`e${index}`, at, 'bad', { previous: [`e${index - 1}`] }))),
    parts: ['bad'],
  },
  {
    name: 'one request that is sent on at once, reported out of order',
    steps: [1_000, 995, 990].map((at, index) => (
      crash(`e${index}`, at, 'bad', { previous: [`e${index - 1}`] }))),
    parts: ['bad'],
  },
  {
    name: 'the engines of a rack crash together',
    steps: [1, 2, 3, 4, 5, 6].map((index) => crash(`e${index}`, 1_000 + index * 40, 'sound')),
    parts: [],
  },
  {
    name: 'several reports of one crash',
    steps: [1, 2, 3, 4].map((index) => crash('e1', index * 1_000, 'sound')),
    parts: [],
  },
  {
    name: 'a part that every request has, answered between the crashes',
    steps: [
      crash('e1', 1_000, 'all,bad'), answered(1_500, 'all'), crash('e2', 2_000, 'all,bad'),
      crash('e3', 3_000, 'all,bad'), answered(3_500, 'all'),
    ],
    parts: ['bad'],
  },
  {
    name: 'parts that only ever came together are refused only together',
    steps: [1, 2, 3].map((index) => crash(`e${index}`, index * 1_000, 'all,bad')),
    parts: ['all+bad'],
  },
  {
    name: 'a crash without the other part tells them apart',
    steps: [
      ...[1, 2, 3].map((index) => crash(`e${index}`, index * 1_000, 'other,bad')),
      crash('e4', 4_000, 'bad'),
    ],
    parts: ['bad'],
  },
  {
    name: 'requests that waited beside the cause, on each engine that crashed',
    steps: [1, 2, 3, 4].flatMap((index) => [
      waiting(`e${index}`, index * 1_000, 'sound'),
      crash(`e${index}`, index * 1_000 + 5, 'bad'),
    ]),
    parts: ['bad'],
  },
  {
    name: 'the cause is reported before those that waited beside it',
    steps: [1, 2, 3, 4].flatMap((index) => [
      crash(`e${index}`, index * 1_000, 'bad'),
      waiting(`e${index}`, index * 1_000 + 5, 'sound'),
    ]),
    parts: ['bad'],
  },
  {
    name: 'engines that crash before they send a head',
    steps: [1, 2, 3, 4, 5, 6].flatMap((index) => [
      waiting(`e${index}`, index * 1_000, 'bad'),
      waiting(`e${index}`, index * 1_000 + 5, `sound-${index}`),
    ]),
    parts: ['bad'],
  },
  {
    name: 'a request that waits on one crashing engine after the other',
    steps: [1, 2, 3, 4, 5].map((index) => waiting(`e${index}`, index * 1_000, 'sound')),
    parts: [],
  },
  {
    name: 'requests without a part to share, which crash engines beside others',
    steps: [1, 2, 3, 4].flatMap((index) => [
      crash(`e${index}`, index * 1_000, 'none', { parts: [] }),
      waiting(`e${index}`, index * 1_000 + 5, 'sound'),
    ]),
    parts: [],
  },
  {
    name: 'a crash counts against one part only',
    steps: [
      ...[1, 2, 3, 4].map((index) => crash(`e${index}`, index * 1_000, 'bad')),
      crash('e1', 1_000, 'sound'), crash('e2', 2_000, 'sound'), crash('e3', 3_000, 'sound'),
    ],
    parts: ['bad'],
  },
  {
    name: 'two parts that crash engines',
    steps: [1, 2, 3].flatMap((index) => [
      crash(`e${index}`, index * 1_000, 'bad'), crash(`f${index}`, index * 1_000 + 400, 'worse'),
    ]),
    parts: ['bad', 'worse'],
  },
  {
    name: 'two parts that crash engines, and one that all their requests share',
    steps: [1, 2, 3].flatMap((index) => [
      crash(`e${index}`, index * 1_000, 'all,bad'),
      crash(`f${index}`, index * 1_000 + 400, 'all,worse'),
    ]),
    parts: ['all+bad', 'all+worse'],
  },
  {
    name: 'the same, and then a crash without either of the two',
    steps: [
      ...[1, 2, 3].flatMap((index) => [
        crash(`e${index}`, index * 1_000, 'all,other'),
        crash(`f${index}`, index * 1_000 + 400, 'all,another'),
      ]),
      crash('g', 5_000, 'all'),
    ],
    parts: ['all'],
  },
  {
    name: 'the same, and then an answer without either of the two',
    steps: [
      ...[1, 2, 3].flatMap((index) => [
        crash(`e${index}`, index * 1_000, 'all,bad'),
        crash(`f${index}`, index * 1_000 + 400, 'all,worse'),
      ]),
      answered(5_000, 'all'),
    ],
    parts: ['bad', 'worse'],
  },
  {
    name: 'a part that was answered before takes one crash more',
    steps: [
      crash('e0', 500, 'part'), answered(900, 'part'),
      ...[1, 2, 3].map((index) => crash(`e${index}`, index * 1_000, 'part')),
    ],
    parts: [],
  },
  {
    name: 'a part that was answered before and crashes engines ever since',
    steps: [
      crash('e0', 500, 'part'), answered(900, 'part'),
      ...[1, 2, 3, 4].map((index) => crash(`e${index}`, index * 1_000, 'part')),
    ],
    parts: ['part'],
  },
  {
    name: 'one request that crashes engine after engine',
    steps: [1, 2, 3, 4, 5].map((index) => (
      crash(`e${index}`, index * 1_000, 'shared', { requests: ['r1'] }))),
    parts: [],
  },
  {
    name: 'a second request that crashes an engine with the part',
    steps: [1, 2, 3, 4].map((index) => (
      crash(`e${index}`, index * 1_000, 'bad', { requests: [index < 4 ? 'r1' : 'r2'] }))),
    parts: ['bad'],
  },
  {
    name: 'one request, and others that had begun beside it',
    steps: [1, 2, 3, 4].map((index) => (
      crash(`e${index}`, index * 1_000, 'shared', { requests: ['r1', `beside-${index}`] }))),
    parts: [],
  },
  {
    name: 'two requests with a part that was answered before',
    steps: [
      crash('e0', 500, 'shared', { requests: ['r0'] }), answered(900, 'shared'),
      ...[1, 2, 3, 4, 5, 6].map((index) => (
        crash(`e${index}`, index * 1_000, 'shared', { requests: [index < 4 ? 'r1' : 'r2'] }))),
    ],
    parts: [],
  },
  {
    name: 'three requests with a part that was answered before',
    steps: [
      crash('e0', 500, 'shared', { requests: ['r0'] }), answered(900, 'shared'),
      ...[1, 2, 3, 4].map((index) => (
        crash(`e${index}`, index * 1_000, 'shared', { requests: [`r${Math.min(index, 3)}`] }))),
    ],
    parts: ['shared'],
  },
  {
    name: 'an answer clears the part',
    steps: [
      ...[1, 2, 3].map((index) => crash(`e${index}`, index * 1_000, 'part')),
      answered(4_000, 'part'),
    ],
    parts: [],
  },
];
SCENARIOS.forEach(({ name, steps, parts }) => {
  test(`crash evidence: ${name}`, (t) => {
    t.deepEqual(quarantinedParts(evidenceOf(steps)), parts);
  });
});

interface RequestScenario {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly requests: readonly string[];
}

/** A crash of a plain server under these requests. */
function under(server: string, at: number, requests: string, change: Partial<Crash> = {}): Crash {
  return crash(server, at, '', {
    started: false, parts: [], requests: requests.split(','), ...change,
  });
}

const REQUEST_SCENARIOS: readonly RequestScenario[] = [
  {
    name: 'two crashes prove nothing',
    steps: [under('s1', 1_000, 'r'), under('s2', 1_100, 'r')],
    requests: [],
  },
  {
    name: 'three crashes, also at the same time',
    steps: [under('s1', 1_000, 'r'), under('s2', 1_001, 'r'), under('s3', 1_002, 'r')],
    requests: ['r'],
  },
  {
    name: 'requests that wait beside the cause are not refused',
    steps: [1, 2, 3, 4].map((index) => (
      under(`s${index}`, index * 1_000, index < 4 ? 'r,bystander' : 'r'))),
    requests: ['r'],
  },
  {
    name: 'an answer clears a request that waited beside the cause',
    steps: [1, 2, 3].flatMap((index) => [
      under(`s${index}`, index * 1_000, 'r,poll'), answered(index * 1_000 + 500, 'poll'),
    ]),
    requests: ['r'],
  },
  {
    name: 'a request that was answered before takes one crash more',
    steps: [
      under('s1', 1_000, 'r'), answered(1_500, 'r'), under('s2', 2_000, 'r'),
      under('s3', 3_000, 'r'), under('s4', 4_000, 'r'),
    ],
    requests: [],
  },
  {
    name: 'one server that starts again under its id',
    steps: [1, 2, 3].map((index) => (
      under('s1', index * 1_000, 'r', { aliveAt: index * 1_000 - 100 }))),
    requests: ['r'],
  },
  {
    name: 'late reports of one crash',
    steps: [1, 2, 3].map((index) => under('s1', index * 1_000, 'r', { aliveAt: 900 })),
    requests: [],
  },
  {
    name: 'one prompt is refused, not its body with another one',
    steps: [1, 2, 3].map((index) => under(`s${index}`, index * 1_000, 'body/prompt')),
    requests: ['body/prompt'],
  },
  {
    name: 'a body that crashes servers with several prompts',
    steps: [1, 2, 3].map((index) => under(`s${index}`, index * 1_000, `body/${index}`)),
    requests: ['body'],
  },
];
REQUEST_SCENARIOS.forEach(({ name, steps, requests }) => {
  test(`crashing requests: ${name}`, (t) => {
    t.deepEqual(quarantinedRequests(evidenceOf(steps)), requests);
  });
});

test('crashing requests: the same body is refused, another one is not', (t) => {
  const found = quarantines(evidenceOf([1, 2, 3].map((index) => (
    under(`s${index}`, index * 1_000, 'body')))));
  const refuses = (request: string) => quarantineOf(found, { parts: [], request });
  t.is(refuses('body')?.until, 1_000 + EVIDENCE_MS);
  t.truthy(refuses('body/prompt'));
  t.is(refuses('other'), undefined);
});

const BAD = [1, 2, 3, 4].map((index) => crash(`e${index}`, index * 60_000, 'all,bad'));

test('crash evidence: only requests with all parts of a quarantine are refused', (t) => {
  const found = quarantines(evidenceOf(BAD));
  const refuses = (...parts: string[]) => quarantineOf(found, { parts, request: 'r' });
  t.truthy(refuses('bad', 'x', 'all'));
  t.is(refuses('all', 'x'), undefined);
  t.is(refuses('bad'), undefined);
  t.is(refuses(), undefined);
});

test('crash evidence: a quarantine ends when its crashes are forgotten, one by one', (t) => {
  const evidence = evidenceOf(BAD);
  const [quarantine] = quarantines(evidence);
  t.is(quarantine?.until, 2 * 60_000 + EVIDENCE_MS);
  const before = withoutExpired(evidence, quarantine!.until - 1);
  t.deepEqual(quarantinedParts(before), ['all+bad']);
  const after = withoutExpired(evidence, quarantine!.until);
  t.deepEqual(quarantinedParts(after), []);
  const again = withCrash(after, crash('e9', quarantine!.until, 'all,bad'), quarantine!.until);
  t.deepEqual(quarantinedParts(again), ['all+bad']);
  t.deepEqual(withoutExpired(evidence, 4 * 60_000 + EVIDENCE_MS), NO_EVIDENCE);
});

test('crash evidence: what is kept is bounded', (t) => {
  const parts = Array.from({ length: 40 }, (_, index) => `part-${index}`).join(',');
  const evidence = evidenceOf(Array.from({ length: 500 }, (_, index) => [
    crash(`e${index}`, index * 100, parts), crash(`e${index}`, index * 100, `other-${index}`),
    answered(index * 100, `part-${index % 40}`),
  ]).flat());
  t.is(evidence.crashes.length, 128);
  t.true(evidence.crashes.every((kept) => kept.parts.length <= 40));
  t.true(evidence.answers.size <= 128 * 40);
});

const STEP: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    server: fc.constantFrom('e1', 'e2', 'e3', 'e4', 'e5'),
    at: fc.integer({ min: 1_000, max: 4_000 }),
    aliveAt: fc.constant(-Infinity),
    started: fc.boolean(),
    requests: fc.uniqueArray(fc.constantFrom('r1', 'r2/p', 'r2/q'), { maxLength: 2 }),
    parts: fc.uniqueArray(fc.constantFrom('a', 'b', 'c'), { maxLength: 3 }),
    previous: fc.uniqueArray(fc.constantFrom('e1', 'e2', 'e3'), { maxLength: 2 }),
  }),
  fc.record({
    at: fc.integer({ min: 1_000, max: 4_000 }),
    answered: fc.constantFrom('a', 'b', 'c', 'r1', 'r2'),
  }),
);

testProp(
  'crash evidence: crashes that arrive in another order or twice point to the same parts',
  [fc.array(STEP, { maxLength: 12 })],
  (t, steps) => {
    const crashes = steps.filter((step) => !('answered' in step));
    const answers = steps.filter((step) => 'answered' in step);
    const conclusions = (evidence: CrashEvidence) => [
      quarantinedParts(evidence), quarantinedRequests(evidence)];
    const expected = conclusions(evidenceOf([...crashes, ...answers]));
    const reversed = evidenceOf([...crashes.toReversed(), ...crashes, ...answers]);
    t.deepEqual(conclusions(reversed), expected);
  },
  { numRuns: 300, seed: 20 },
);
