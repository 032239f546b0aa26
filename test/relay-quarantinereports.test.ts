/** How instances pass on which prompt parts crash engines, with messages lost and late. */
import test from 'ava';
import { silentLog } from '../src/common/log.js';
import { Random } from '../src/common/random.js';
import { EVIDENCE_MS } from '../src/limits/crashevidence.js';
import { Quarantines } from '../src/relay/quarantine.js';
import type { CrashReport } from '../src/relay/crashnews.js';
import { VirtualClock } from './fakes/clock.js';

const MESSAGE_INTERVAL_MS = 100;

function report(server: string, ageMs: number, parts: readonly string[] = ['bad']): CrashReport {
  return {
    server,
    ageMs,
    aliveAgeMs: undefined,
    started: true,
    previous: [],
    parts: parts.map((subject) => ({ subject, answerAgeMs: undefined })),
    requests: [],
  };
}

const BAD: readonly CrashReport[] = [report('e1', 2_000), report('e2', 1_000), report('e3', 0)];

class Fleet {
  readonly clock = new VirtualClock();

  readonly instances: Quarantines[] = [];

  readonly #random = Random.of(5);

  /** How long messages may have waited before they are read. */
  readonly horizon = { delayMs: 0 };

  add(): Quarantines {
    const { clock: scheduler } = this;
    const instance = Quarantines.of({
      scheduler,
      random: Random.of(this.instances.length),
      log: silentLog,
      crashCheck: { hasCrashed: () => Promise.resolve(false) },
      horizon: this.horizon,
      onUrgentChange: () => undefined,
    });
    instance.start();
    this.instances.push(instance);
    return instance;
  }

  /** Each instance sends each other one its reports; some are lost, all others late. */
  async exchange(ms: number, lossRate: number, delayMs: number): Promise<void> {
    for (let time = 0; time < ms; time += MESSAGE_INTERVAL_MS) {
      const messages = this.instances.map((sender) => ({ sender, reports: sender.reports }));
      await this.clock.advance(delayMs); // eslint-disable-line no-await-in-loop -- in turn
      this.instances.forEach((receiver) => {
        messages.filter(({ sender }) => sender !== receiver
          && this.#random.fraction() >= lossRate)
          .forEach(({ reports }) => receiver.adopt(reports));
      });
      // eslint-disable-next-line no-await-in-loop -- in turn
      await this.clock.advance(MESSAGE_INTERVAL_MS - delayMs);
    }
  }

  get found(): readonly string[] {
    return this.instances.map(({ found }) => found.flatMap((quarantine) => (
      quarantine.kind === 'parts' ? [quarantine.parts.join('+')] : [])).join());
  }
}

test('half of the messages lost: every instance refuses the part within a second', async (t) => {
  const fleet = new Fleet();
  const first = fleet.add();
  Array.from({ length: 5 }, () => fleet.add());
  first.adopt(BAD);
  await fleet.exchange(1_000, 0.5, 40);
  t.deepEqual(new Set(fleet.found), new Set(['bad']));
});

test('an instance that starts long after the crashes learns of them from the others', async (t) => {
  const fleet = new Fleet();
  fleet.add().adopt([
    ...Array.from({ length: 60 }, (_, index) => report(`x${index}`, 3_000, [`sound-${index}`])),
    ...BAD,
  ]);
  await fleet.exchange(60_000, 0, 5);
  fleet.add();
  await fleet.exchange(2_000, 0, 5);
  t.deepEqual(fleet.found, ['bad', 'bad']);
});

test('evidence that is passed on is forgotten in time and does not come back', async (t) => {
  const fleet = new Fleet();
  fleet.add().adopt(BAD);
  fleet.add();
  fleet.add();
  await fleet.exchange(EVIDENCE_MS - 5_000, 0.3, 90);
  t.deepEqual(fleet.found, ['bad', 'bad', 'bad']);
  await fleet.exchange(10_000, 0.3, 90);
  t.deepEqual(fleet.found, ['', '', '']);
  await fleet.exchange(60_000, 0.3, 90);
  t.deepEqual(fleet.found, ['', '', '']);
  t.deepEqual(fleet.instances.flatMap(({ reports }) => reports), []);
});

test('a message carries a bounded number of crashes', (t) => {
  const fleet = new Fleet();
  const instance = fleet.add();
  instance.adopt(Array.from({ length: 300 }, (_, index) => report(`e${index}`, index)));
  t.true(instance.reports.length <= 5);
});

/** A crash under a request, of a server that was seen to run just before. */
function lost(server: string, ageMs: number): CrashReport {
  return {
    ...report(server, ageMs, []),
    aliveAgeMs: ageMs + 20,
    requests: [{ subject: 'request', answerAgeMs: undefined }],
  };
}

test('reports of one crash that are read late are not taken for further crashes', (t) => {
  const fleet = new Fleet();
  const instance = fleet.add();
  instance.adopt([lost('e1', 3_000)]);
  [2_500, 2_000, 1_500].forEach((lateMs) => {
    fleet.horizon.delayMs = lateMs;
    instance.adopt([lost('e1', 3_000 - lateMs)]);
  });
  t.is(instance.reports.length, 1);
  t.deepEqual(instance.found, []);
});

test('crashes of a server that starts again under its id count each', (t) => {
  const fleet = new Fleet();
  const instance = fleet.add();
  fleet.horizon.delayMs = 150;
  [3_000, 2_000, 1_000].forEach((ageMs) => instance.adopt([lost('e1', ageMs)]));
  t.is(instance.found.length, 1);
});
