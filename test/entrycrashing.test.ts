/** Requests that crash each backend server that runs them, at the product's own interface. */
import type { RequestListener, Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { silentLog } from '../src/common/log.js';
import { EVIDENCE_MS } from '../src/limits/crashevidence.js';
import { CrashingRequests } from '../src/limits/crashingrequests.js';
import type { StandInEngine } from '../src/standin/engine.js';
import { VirtualClock } from './fakes/clock.js';
import { deployment, requestOf } from './fakes/deployment.js';
import { call, sleep, startEntry } from './fakes/entry.js';

const DEADLY = 'deadly';
/** Crashes of the request, and retries that may still reach a server. */
const MAX_ARRIVALS = 3 + 3;
const RESTART_MS = 100;

const CRASHES: readonly { readonly when: string; readonly afterMs: number }[] = [
  { when: 'before their first token', afterMs: 10 },
  { when: 'after some tokens', afterMs: 110 },
];
CRASHES.forEach(({ when, afterMs }) => {
  test(`a generation that crashes engines ${when} stops reaching them`, async (t) => {
    let arrivals = 0;
    const { clock, call: send } = deployment({
      engines: 8,
      wrap: (engine: StandInEngine) => ({
        generate: (request) => {
          const answer = engine.generate(request);
          if (request.input.kind !== 'prompt' || request.input.text !== DEADLY) return answer;
          arrivals += 1;
          const restarted = `${engine.incarnation}+`;
          clock.schedule(() => engine.crash(restarted), afterMs);
          return answer;
        },
        join: (generation, attempt, position) => engine.join(generation, attempt, position),
        cancel: (generation, attempt) => engine.cancel(generation, attempt),
        load: () => engine.load(),
        cacheEvents: () => engine.cacheEvents(),
        order: (order) => engine.order(order),
      }),
      engine: { stepMs: 20 },
    });
    await clock.advance(500);
    const request = (id: string, text: string) => requestOf({
      id, input: { kind: 'prompt', text },
    });
    for (let round = 0; round < 4; round += 1) {
      send(request(`deadly-${round}`, DEADLY));
      await clock.advance(3_000); // eslint-disable-line no-await-in-loop -- it comes again
    }
    t.true(arrivals <= MAX_ARRIVALS, `${arrivals}`);
    const refused = send(request('again', DEADLY));
    const sound = send(request('sound', 'List the ovens'));
    await clock.advance(5_000);
    t.like(refused.end(), { refusal: { code: 'query_of_death', ran: 'no' } });
    t.is(sound.end()?.kind, 'finish');
  });
});

test('instances tell each other the crashes', async (t) => {
  const clock = new VirtualClock();
  const instances: CrashingRequests[] = [];
  ['a', 'b', 'c'].forEach((instance) => instances.push(CrashingRequests.of({
    scheduler: clock,
    log: silentLog,
    instance,
    publish: (crashes) => instances.forEach((other) => other.adopt(crashes, clock.now())),
  })));
  instances.forEach((instance, index) => (
    instance.recordLost(`e${index}`, DEADLY, Promise.resolve(true))));
  await clock.advance(10);
  instances.forEach((instance) => {
    t.is(instance.refusal(DEADLY)?.code, 'query_of_death');
    t.is(instance.refusal('other'), undefined);
  });
  await clock.advance(EVIDENCE_MS);
  instances.forEach((instance) => t.is(instance.refusal(DEADLY), undefined));
});

['PUT', 'GET'].forEach((method) => {
  test(`a service call that crashes servers stops reaching them: ${method}`, async (t) => {
    let arrivals = 0;
    let servers: readonly Server[] = [];
    let hasEnded = false;
    const listener: RequestListener = (req, res) => {
      if (!req.url!.startsWith('/deadly')) {
        res.end('ok');
        return;
      }
      arrivals += 1;
      const { localPort } = req.socket;
      const server = servers.find((other) => (
        (other.address() as AddressInfo | null)?.port === localPort))!;
      server.close();
      server.closeAllConnections();
      setTimeout(() => {
        if (!hasEnded) server.listen(localPort, '127.0.0.1');
      }, RESTART_MS);
    };
    const own = await startEntry({
      engines: 1,
      services: Array.from({ length: 6 }, () => listener),
    });
    servers = own.serviceServers;
    t.teardown(() => {
      hasEnded = true;
      own.stop();
    });
    const send = (path: string) => call(own.address, `/services/stock${path}`, {
      method, ...(method === 'PUT' ? { body: Buffer.from('body') } : {}),
    });
    for (let round = 0; round < 8; round += 1) {
      await send('/deadly'); // eslint-disable-line no-await-in-loop -- it comes again
      await sleep(2 * RESTART_MS); // eslint-disable-line no-await-in-loop
    }
    t.true(arrivals <= MAX_ARRIVALS, `${arrivals}`);
    const refused = await send('/deadly');
    t.is(refused.status, 503);
    t.like(JSON.parse(refused.text), { error: { code: 'query_of_death', ran: 'no' } });
    t.is((await send('/sound')).status, 200);
  });
});
