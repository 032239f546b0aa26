import test from 'ava';
import { Random } from '../src/common/random.js';
import { NAMES, ShareFleet } from './fakes/sharefleet.js';

test('an unused share moves to where the demand is', (t) => {
  const fleet = new ShareFleet(1);
  fleet.loss = 0;
  fleet.maxDelayMs = 0;
  fleet.run(10_000);
  NAMES.forEach((name) => t.true(Math.abs(fleet.share(name) - 1 / 9) < 0.03));
  fleet.demands.set('d3', 1);
  fleet.run(5_000);
  t.true(fleet.share('d3') > 0.85, `${fleet.share('d3')}`);
  fleet.demands.delete('d3');
  fleet.demands.set('d7', 0.5).set('d8', 0.5);
  fleet.run(5_000);
  t.true(fleet.share('d7') > 0.4 && fleet.share('d8') > 0.4);
  t.true(fleet.peakTotal <= 1 + 1e-6);
});

test('lost, late and reordered rows never take the shares over the limit', (t) => {
  let least = 1;
  for (let seed = 1; seed <= 20; seed += 1) {
    const fleet = new ShareFleet(seed);
    const random = Random.of(seed + 1_000);
    for (let round = 0; round < 40; round += 1) {
      NAMES.forEach((name) => fleet.demands.set(name, random.fraction() ** 4));
      fleet.run(random.integer(1, 10) * 1_000);
    }
    t.true(fleet.peakTotal <= 1 + 1e-6, `seed ${seed}: ${fleet.peakTotal}`);
    fleet.run(15_000);
    least = Math.min(least, fleet.total);
  }
  t.true(least > 0.8, `${least}`);
});

test('a partition, a pause and restarts never take the shares over the limit', (t) => {
  let worst = 0;
  for (let seed = 1; seed <= 20; seed += 1) {
    const fleet = new ShareFleet(seed);
    const random = Random.of(seed + 2_000);
    // The daemon with most of the limit detects the partition first, or last.
    const [holder, other] = seed % 2 === 0 ? ['d0', 'd8'] as const : ['d8', 'd0'] as const;
    fleet.demands.set(holder, 1);
    fleet.run(20_000);
    fleet.partition(`d${random.integer(1, 8)}`);
    fleet.demands.set(other, 1);
    fleet.run(60_000);
    t.true(fleet.share(other) > 0.1, `the other side has its fraction: ${fleet.share(other)}`);
    fleet.partition();
    fleet.run(5_000);
    fleet.paused.add(holder);
    fleet.run(40_000);
    fleet.paused.clear();
    fleet.run(1_000);
    fleet.start(random.pick(NAMES));
    fleet.run(20_000);
    worst = Math.max(worst, fleet.peakTotal);
  }
  t.log(`worst total share ${worst.toFixed(4)}`);
  t.true(worst <= 1 + 1e-6, `${worst}`);
});
