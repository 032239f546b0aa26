import test from 'ava';
import { isBehind, withConfirmation, withReport } from '../src/relay/freshness.js';
import type { CopyReport, Freshness } from '../src/relay/freshness.js';

const POSITION = 20;
const BEFORE: Freshness = { confirmedAt: 1_000, missing: undefined };

const REPORTS: readonly {
  name: string;
  before?: Freshness;
  report: CopyReport;
  confirmedAt: number;
  missing?: Freshness['missing'];
}[] = [
  {
    name: 'without newer changes confirms the copy as of its own age',
    report: { newestChange: 20, ageMs: 300 },
    confirmedAt: 1_700,
  },
  {
    name: 'that is older than the last confirmation changes nothing',
    report: { newestChange: 3, ageMs: 1_400 },
    confirmedAt: 1_000,
  },
  {
    name: 'with a newer change confirms nothing',
    report: { newestChange: 21, ageMs: 0 },
    confirmedAt: 1_000,
    missing: { version: 21, since: 2_000 },
  },
  {
    name: 'with one more newer change keeps the time of the first',
    before: { confirmedAt: 1_000, missing: { version: 21, since: 1_800 } },
    report: { newestChange: 22, ageMs: 0 },
    confirmedAt: 1_000,
    missing: { version: 21, since: 1_800 },
  },
  {
    name: 'starts anew once the missing change has arrived',
    before: { confirmedAt: 1_000, missing: { version: 20, since: 1_800 } },
    report: { newestChange: 22, ageMs: 0 },
    confirmedAt: 1_000,
    missing: { version: 22, since: 2_000 },
  },
];
REPORTS.forEach(({
  name, before = BEFORE, report, confirmedAt, missing,
}) => {
  test(`a report ${name}`, (t) => {
    t.deepEqual(withReport(before, report, POSITION, 2_000), { confirmedAt, missing });
  });
});

test('a copy is behind once a change has been missing for longer than a watch needs', (t) => {
  const state = withReport(BEFORE, { newestChange: 21, ageMs: 0 }, POSITION, 2_000);
  t.false(isBehind(state, POSITION, 2_100));
  t.true(isBehind(state, POSITION, 2_500));
  t.false(isBehind(state, 21, 2_500));
});

test('an older confirmation does not make a copy older', (t) => {
  t.is(withConfirmation(BEFORE, 900).confirmedAt, 1_000);
  t.is(withConfirmation(BEFORE, 1_100).confirmedAt, 1_100);
});
