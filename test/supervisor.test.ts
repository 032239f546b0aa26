import test from 'ava';
import { NEVER, Observable, VirtualTimeScheduler } from 'rxjs';
import { Random } from '../src/common/random.js';
import { silentLog } from '../src/common/log.js';
import { Supervisor } from '../src/common/supervisor.js';

test('a failed child is restarted and its sibling keeps running', (t) => {
  const scheduler = new VirtualTimeScheduler(undefined, 10_000);
  const starts = { failing: 0, steady: 0 };
  const failing = new Observable<never>((subscriber) => {
    starts.failing += 1;
    if (starts.failing < 4) subscriber.error(new Error('planned'));
  });
  const steady = new Observable<never>(() => {
    starts.steady += 1;
    return NEVER.subscribe();
  });
  const supervisor = Supervisor.of('root', [
    { name: 'failing', run: failing },
    { name: 'steady', run: steady },
  ], { scheduler, random: Random.of(1), log: silentLog });
  const subscription = supervisor.run.subscribe();
  scheduler.flush();
  t.deepEqual(starts, { failing: 4, steady: 1 });
  subscription.unsubscribe();
});
