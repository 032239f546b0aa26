import test from 'ava';
import { filter, firstValueFrom } from 'rxjs';
import { silentLog } from '../src/common/log.js';
import { Random } from '../src/common/random.js';
import { monotonicScheduler } from '../src/common/time.js';
import { Follower } from '../src/configuration/follower.js';
import { Publisher } from '../src/configuration/publisher.js';
import { MemoryObjects } from '../src/standin/objects.js';
import { ObjectServer } from '../src/standin/objectserver.js';
import { HttpObjects } from '../src/store/client.js';

const scheduler = monotonicScheduler;
const FILE = '[deployment]\nname = "lisbon"\nzones = ["lis-a"]\n';

test('a change published over HTTP is put in force by a daemon', async (t) => {
  const random = Random.of(1);
  const objects = MemoryObjects.of(scheduler, random);
  const server = await ObjectServer.listen(objects, scheduler, '127.0.0.1', 0);
  const client = HttpObjects.of(server.address, scheduler);
  const follower = Follower.of({
    name: 'a',
    api: client,
    peers: { fetch: () => Promise.reject(new Error('no peers')) },
    scheduler,
    random,
    log: silentLog,
  });
  const running = follower.start();
  t.teardown(async () => {
    running.unsubscribe();
    client.close();
    await server.close();
  });
  follower.markAlone();
  const publisher = Publisher.of({
    api: client, scheduler, random, wallClock: Date.now,
  });
  const inForce = (revision: number) => firstValueFrom(follower.configurations
    .pipe(filter((configuration) => configuration.revision === revision)));
  const first = await publisher.apply({ 'a.toml': FILE }, { who: 'ana', base: 0 });
  t.like(first, { kind: 'accepted', revision: 1 });
  t.is((await inForce(1)).deployment.favour, 'latency');
  objects.setFaults({ lostAnswers: 1 });
  const second = await publisher.put('b.toml', 'deployment.favour = "resources"', { who: 'ben' });
  t.like(second, { kind: 'accepted', revision: 2 });
  t.is((await inForce(2)).deployment.favour, 'resources');
});
