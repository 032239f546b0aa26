import test from 'ava';
import { Subject } from 'rxjs';
import { silentLog } from '../src/common/log.js';
import { Random } from '../src/common/random.js';
import type { Refusal } from '../src/common/refusal.js';
import type { Configuration, Workspace } from '../src/configuration/configuration.js';
import { EMPTY_CONFIGURATION } from '../src/configuration/defaults.js';
import { WorkspaceLimiter } from '../src/limits/admission.js';
import {
  earn, mayRetry, retryBudget, spend,
} from '../src/limits/retrybudget.js';
import type { ShareRow } from '../src/limits/shares.js';
import { VirtualClock } from './fakes/clock.js';

const HOTEL: Workspace = {
  name: 'hotel',
  keyHashes: [],
  weight: 1,
  requestsPerSecond: 90,
  burst: 90,
  concurrency: 45,
  priority: 'standard',
  models: [],
};

/** Daemons that receive each other's rows 20 ms after publication. */
class Daemons {
  readonly clock = new VirtualClock();

  readonly admissions: readonly WorkspaceLimiter[];

  constructor(count: number, change: Partial<Workspace> = {}) {
    const configuration: Configuration = {
      ...EMPTY_CONFIGURATION, workspaces: { hotel: { ...HOTEL, ...change } },
    };
    const names = Array.from({ length: count }, (_, index) => `d${index}`);
    const rows = new Subject<readonly ShareRow[]>();
    this.admissions = names.map((name, index) => WorkspaceLimiter.of({
      name,
      incarnation: 1,
      configuration: () => configuration,
      exchange: {
        rows,
        members: () => names,
        reachable: () => names,
        publish: (row) => this.clock.schedule(() => rows.next([row]), 20),
      },
      scheduler: this.clock,
      random: Random.of(index),
      log: silentLog,
    }));
    this.admissions.forEach((admissions) => admissions.start());
  }

  refusal(daemon: number, workspace: string): Refusal | undefined {
    const result = this.admissions[daemon]!.admit(workspace);
    return result.isErr() ? result.error : undefined;
  }

  /** Sends a daemon a request every 10 ms for `seconds`; returns how many are admitted. */
  async offer(daemon: number, seconds: number, keep = false): Promise<number> {
    let admitted = 0;
    for (let step = 0; step < seconds * 100; step += 1) {
      const result = this.admissions[daemon]!.admit('hotel');
      if (result.isOk()) {
        admitted += 1;
        if (!keep) result.value.release();
      }
      // eslint-disable-next-line no-await-in-loop -- time advances between requests
      await this.clock.advance(10);
    }
    return admitted;
  }
}

test('a daemon that receives all requests gets nearly all the rate within seconds', async (t) => {
  const daemons = new Daemons(9);
  await daemons.clock.advance(10_000);
  const early = await daemons.offer(3, 1);
  t.true(early < 40, `${early}`);
  await daemons.offer(3, 4);
  const late = await daemons.offer(3, 5);
  t.true(late >= 0.85 * 90 * 5 && late <= 90 * 5, `${late}`);
});

test('concurrency is capped, and the refusal says when to retry', async (t) => {
  const daemons = new Daemons(3);
  await daemons.clock.advance(5_000);
  const admitted = await daemons.offer(0, 8, true);
  t.true(admitted >= 40 && admitted <= 45, `${admitted}`);
  const refusal = daemons.refusal(0, 'hotel');
  t.is(refusal?.code, 'rate_limited');
  t.is(refusal?.ran, 'no');
  t.true((refusal?.retryAfterMs ?? 0) > 0);
});

test('concurrency in use is not given up, so that the daemons stay within the limit', async (t) => {
  const daemons = new Daemons(3);
  await daemons.clock.advance(5_000);
  const first = await daemons.offer(0, 8, true);
  const second = await daemons.offer(1, 8, true);
  t.true(first + second <= 45 + 3, `${first} + ${second}`);
});

test('every daemon admits at least one request, even of a small limit', async (t) => {
  const daemons = new Daemons(9, { requestsPerSecond: 1, burst: 1, concurrency: 2 });
  await daemons.clock.advance(5_000);
  t.true(daemons.admissions.every((admissions) => admissions.admit('hotel').isOk()));
  t.true(daemons.admissions.every((admissions) => admissions.admit('hotel').isErr()));
  t.is(daemons.refusal(0, 'none')?.code, 'unauthorized');
});

test('a limit of 0 admits nothing', (t) => {
  const daemons = new Daemons(1, { requestsPerSecond: 0 });
  t.true(daemons.admissions[0]!.admit('hotel').isErr());
});

test('a retry budget is earned by first attempts and by time, and bounded', (t) => {
  let budget = retryBudget(0);
  let made = 0;
  for (; mayRetry(budget, 0); made += 1) budget = spend(budget, 0);
  t.is(made, 5);
  t.true(mayRetry(budget, 1_000));
  for (let first = 0; first < 10; first += 1) budget = earn(budget, 0.2, 0);
  t.is(Math.round(budget.balance), 2);
  for (let first = 0; first < 1_000; first += 1) budget = earn(budget, 0.2, 0);
  t.is(budget.balance, 50);
});
