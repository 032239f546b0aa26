import test from 'ava';
import { describeFailure, fuzz } from './property.js';

/** Sequences for each seed; `npm run fuzz` runs more. */
const RUNS = 80;

[1, 2, 3, 4].forEach((seed) => {
  test(`every promise holds under faults, seed ${seed}`, async (t) => {
    t.timeout(120_000);
    const details = await fuzz({ seed, runs: RUNS });
    t.false(details.failed, describeFailure(details));
  });
});
