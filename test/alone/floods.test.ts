/**
 * Servers that all send bytes without end at once, against the program as it is deployed on a small
 * machine: it lives, stays within the machine's memory, and answers other callers.
 */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { FLOODS } from '../fakes/floods.js';
import { emptyRequest, ProcessDeployment, requestHead } from '../fakes/processdeployment.js';
import { ProcessMeter } from '../fakes/processmeter.js';
import type { RelayProcess } from '../fakes/relayprocess.js';

const MACHINE_MEGABYTES = 160;
const SERVERS = 8;
/** As many engines as one lookup may ask. */
const MANY_SERVERS = 120;
const CALLERS = 60;

async function ask(relay: RelayProcess, request: string) {
  const connection = await relay.connect();
  connection.send(request);
  const answer = await connection.answer();
  connection.close();
  return answer;
}

async function smallMachine(t: ExecutionContext, engines = SERVERS) {
  const deployment = await ProcessDeployment.of({
    instances: 1, engines, graceS: 5, extraLines: [`Limits.MemoryMb=${MACHINE_MEGABYTES}`],
  });
  t.teardown(() => deployment.close());
  const relay = await deployment.start(0);
  t.true(await relay.untilReady(), 'ready');
  const meter = ProcessMeter.start(relay.pid, relay.settings.ports.callers);
  t.teardown(() => meter.stop());
  return { deployment, relay, meter };
}

function floodedBy(name: string, relay: RelayProcess) {
  const query = `flood=${encodeURIComponent(name)}`;
  return Array.from({ length: CALLERS }, (_, index) => (
    ask(relay, emptyRequest(`f-${index}`, `${index % 2 === 0 ? '/safe' : '/stream'}/x?${query}`))));
}

Object.keys(FLOODS).forEach((name) => {
  test.serial(`a small machine holds against all servers at once that send ${name}`, async (t) => {
    const { relay, meter } = await smallMachine(t);
    const flooded = floodedBy(name, relay);
    const beside = await ask(relay, emptyRequest('beside', '/unsafe/x'));
    const answers = await Promise.all(flooded);
    t.log(`${meter.megabytes} MB; beside: ${beside.status} ${beside.body.slice(0, 200)}`);
    t.is(relay.exit, undefined, 'the process lives');
    t.true(meter.megabytes <= MACHINE_MEGABYTES, `${meter.megabytes} MB`);
    t.is(beside.status, 200, 'another caller is answered');
    t.true(answers.every(({ status, whole }) => status !== 200 || !whole), 'no flood is an answer');
  });
});

test.serial('a small machine holds against floods in a stop, and ends', async (t) => {
  const { relay, meter } = await smallMachine(t);
  const flooded = floodedBy('a body until it closes', relay);
  relay.signal('SIGTERM');
  await Promise.all(flooded);
  const { signal } = await relay.exited;
  t.is(signal, null, 'it ends by itself');
  t.true(meter.megabytes <= MACHINE_MEGABYTES, `${meter.megabytes} MB`);
});

test.serial('a small machine holds against engines that list prompts without end', async (t) => {
  const { deployment, relay, meter } = await smallMachine(t, MANY_SERVERS);
  deployment.engines.forEach((engine) => {
    Object.assign(engine, { floodsLists: true });
  });
  await ask(relay, emptyRequest('begun', '/stream/x?events=3'));
  const takeUps = await Promise.all(Array.from({ length: CALLERS }, (_, index) => (
    ask(relay, requestHead(`t-${index}`, '/stream/x?events=5', {
      'Content-Length': '0', 'Last-Event-Id': '2', Resumes: 'begun',
    })))));
  t.log(`${meter.megabytes} MB; ${takeUps.map(({ status }) => status).join(' ')}`);
  t.is(relay.exit, undefined, 'the process lives');
  t.true(meter.megabytes <= MACHINE_MEGABYTES, `${meter.megabytes} MB`);
  t.true(takeUps.some(({ status }) => status === 200));
});
