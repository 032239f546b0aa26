/** The rate limit of a server, kept by several instances together, under virtual time. */
import test from 'ava';
import { ThrottleFleet } from './fakes/throttlefleet.js';

const WINDOW_MS = 4_000;
/** From the first answer that names a limit to the time from which it has to be kept. */
const NOTICE_MS = 3_000;
const rate = (perSecond: number) => ({ kind: 'rate', perSecond } as const);
/** Requests in a window that a server with this limit may get. */
const allowed = (perSecond: number) => (1.5 * perSecond * WINDOW_MS) / 1_000 + 5;

/** Six callers at a time that come to any of six instances with a permit each find this many. */
const RANDOM_INSTANCE_SHARE = 1 - (5 / 6) ** 6;

async function limitedFleet(instances: number, perSecond: number): Promise<ThrottleFleet> {
  const fleet = new ThrottleFleet(instances);
  await fleet.clock.advance(1_000);
  fleet.limit = rate(perSecond);
  await fleet.load(perSecond * 4 + 40, NOTICE_MS);
  return fleet;
}

const SIZES: readonly (readonly [number, number])[] = [
  [1, 2], [2, 0.2], [2, 2], [6, 0], [6, 0.4], [6, 1.8], [6, 4.7], [6, 100], [9, 0.1], [9, 0.9],
  [9, 3], [83, 0.5], [83, 12], [83, 90],
];
SIZES.forEach(([instances, perSecond]) => {
  test(`${instances} instances keep a limit of ${perSecond} a second and use it`, async (t) => {
    const fleet = await limitedFleet(instances, perSecond);
    const from = fleet.clock.now();
    const seconds = Math.max(20, 10 / Math.max(perSecond, 0.1));
    await fleet.load(perSecond * 4 + 40, seconds * 1_000);
    t.true(fleet.mostInWindow(WINDOW_MS, from) <= allowed(perSecond));
    const used = fleet.since(from).length / seconds;
    t.true(used >= 0.6 * perSecond, `${used}`);
    t.true(used <= 1.2 * Math.max(perSecond, 0.1), `${used}`);
  });
});

test('an instance at which all requests arrive uses what the others leave', async (t) => {
  const fleet = await limitedFleet(6, 6);
  await fleet.load(50, 4_000, (index) => index === 2);
  const from = fleet.clock.now();
  await fleet.load(50, 20_000, (index) => index === 2);
  t.true(fleet.since(from).length >= 0.8 * 6 * 20, `${fleet.since(from).length}`);
  t.true(fleet.mostInWindow(WINDOW_MS, from) <= allowed(6));
});

test('instances that were idle and are used at once keep the limit', async (t) => {
  const fleet = await limitedFleet(6, 6);
  await fleet.load(50, 4_000, (index) => index === 2);
  const from = fleet.clock.now();
  await fleet.load(300, 8_000);
  t.true(fleet.mostInWindow(WINDOW_MS, from) <= allowed(6));
});

type Disturbance = (fleet: ThrottleFleet) => void;
const DISTURBANCES: readonly (readonly [string, Disturbance])[] = [
  ['hear of no other', (fleet) => fleet.cut(() => true)],
  ['are cut into two halves', (fleet) => fleet.cut((left, right) => left < 3 && right >= 3)],
  ['lose half of them', (fleet) => fleet.instances.slice(3)
    .forEach((instance) => instance.stop())],
  ['are joined by one that has just started', (fleet) => {
    fleet.add();
  }],
  ['are joined by one that hears of no other', (fleet) => {
    fleet.add();
    fleet.cut((left) => left === 6);
  }],
];
DISTURBANCES.forEach(([name, disturb]) => {
  [0.6, 1.8, 4.7, 30].forEach((perSecond) => {
    test(`instances that ${name} keep a limit of ${perSecond} a second`, async (t) => {
      const fleet = await limitedFleet(6, perSecond);
      const from = fleet.clock.now();
      await fleet.load(60, 3_000);
      disturb(fleet);
      await fleet.load(60, 20_000);
      fleet.cut(() => false);
      await fleet.load(60, 8_000);
      t.true(fleet.mostInWindow(WINDOW_MS, from) <= allowed(perSecond));
      t.true(fleet.since(from).length >= 0.2 * perSecond * 31);
    });
  });
});

test('refused callers that come back when they are told are served', async (t) => {
  const fleet = await limitedFleet(6, 6);
  await fleet.clock.advance(3_000);
  const { refused, served } = await fleet.burst(40, 25_000);
  t.true(refused >= 25, `${refused}`);
  t.true(served >= RANDOM_INSTANCE_SHARE * refused, `${served} of ${refused}`);
});

test('an instance that was frozen keeps the limit when it goes on', async (t) => {
  const fleet = await limitedFleet(6, 3);
  const from = fleet.clock.now();
  const [frozen] = fleet.instances;
  frozen!.isStopped = true;
  await fleet.load(60, 6_000, (index) => index > 0);
  frozen!.isStopped = false;
  await fleet.load(60, 6_000);
  t.true(fleet.mostInWindow(WINDOW_MS, from) <= allowed(3));
});

test('a limit that rises or falls is followed by all instances', async (t) => {
  const fleet = await limitedFleet(6, 2);
  fleet.limit = rate(20);
  await fleet.load(60, 2_000);
  const risen = fleet.clock.now();
  await fleet.load(60, 10_000);
  t.true(fleet.since(risen).length >= 0.6 * 200, `${fleet.since(risen).length}`);
  fleet.limit = rate(1);
  await fleet.load(60, 500);
  const fallen = fleet.clock.now();
  await fleet.load(60, 10_000);
  t.true(fleet.mostInWindow(WINDOW_MS, fallen) <= allowed(1));
});

test('a limit that is no longer named is dropped by all instances', async (t) => {
  const fleet = await limitedFleet(6, 2);
  fleet.limit = { kind: 'none' };
  await fleet.load(60, 2_000);
  const before = fleet.refused;
  await fleet.load(60, 5_000);
  t.is(fleet.refused, before);
});

test('a limit that can\'t be read any more stays in force', async (t) => {
  const fleet = await limitedFleet(6, 2);
  fleet.limit = { kind: 'unreadable', text: 'few' };
  const from = fleet.clock.now();
  await fleet.load(60, 10_000);
  t.true(fleet.mostInWindow(WINDOW_MS, from) <= allowed(2));
});

test('a server that starts again has no limit until it names one', async (t) => {
  const fleet = await limitedFleet(6, 2);
  fleet.limit = { kind: 'none' };
  fleet.instances.forEach((instance) => instance.restartServer());
  const before = fleet.refused;
  await fleet.load(60, 1_000);
  t.is(fleet.refused, before);
  fleet.limit = rate(1);
  await fleet.load(60, NOTICE_MS);
  const from = fleet.clock.now();
  await fleet.load(60, 8_000);
  t.true(fleet.mostInWindow(WINDOW_MS, from) <= allowed(1));
});
