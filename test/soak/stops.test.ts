import test from 'ava';
import { Scenario } from './scenario.js';

// Seeds that found faults; their causes are in the commits that added them.
[8, 15, 20].forEach((seed) => {
  test(`clients, servers and exits show no fault around stops: seed ${seed}`, async (t) => {
    const { findings, requests } = await Scenario.run(seed);
    t.true(requests > 50);
    t.deepEqual(findings, []);
  });
});
