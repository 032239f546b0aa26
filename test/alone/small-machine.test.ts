/**
 * Crowds of clients that nobody controls against the program as it is deployed, on the smallest
 * machine. Nothing that is checked depends on the speed of the machine: that the process lives and
 * stays within the machine's memory and descriptors, that a stream that was under way ends whole,
 * that an ordinary request is answered beside the crowd, and that all is served after it has gone.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Crowd } from '../fakes/crowd.js';
import type { CrowdPlan } from '../fakes/crowd.js';
import { LEGAL_LENGTH, LEGAL_PARTS, PART } from '../fakes/crowds.js';
import { eventually } from '../fakes/eventually.js';
import { MACHINE_CROWDS } from '../fakes/machinecrowds.js';
import { emptyRequest, ProcessDeployment, requestHead } from '../fakes/processdeployment.js';
import { openDescriptors, ProcessMeter } from '../fakes/processmeter.js';
import type { RelayProcess } from '../fakes/relayprocess.js';

const MACHINE_MEGABYTES = 178;
const MACHINE_DESCRIPTORS = 2_212;
/** Reserved for files; connections have the rest. */
const FILE_DESCRIPTORS = 200;
/** Connections to the store and servers come and go. */
const OTHER_DESCRIPTORS = 4;
const EVENTS = 40;

/** The answer to one request on a connection of its own. */
async function ask(relay: RelayProcess, ...parts: readonly (string | Buffer)[]) {
  const connection = await relay.connect();
  parts.forEach((part) => connection.send(part));
  const answer = await connection.answer();
  connection.close();
  return answer;
}

/** A deployment of one instance with the settings of the smallest machine. */
async function smallMachine(t: ExecutionContext) {
  const deployment = await ProcessDeployment.of({
    instances: 1,
    engines: 1,
    graceS: 5,
    limits: { IdleTimeoutMs: 2_000 },
    extraLines: [
      `Limits.MemoryMb=${MACHINE_MEGABYTES}`, `Limits.MaxFds=${MACHINE_DESCRIPTORS}`,
    ],
  });
  t.teardown(() => deployment.close());
  const relay = await deployment.start(0);
  t.true(await relay.untilReady(), 'ready');
  const meter = ProcessMeter.start(relay.pid, relay.settings.ports.callers);
  t.teardown(() => meter.stop());
  return { deployment, relay, meter };
}

function startCrowds(t: ExecutionContext, relay: RelayProcess, plans: readonly CrowdPlan[]) {
  const { ip, ports } = relay.settings;
  const crowds = plans.map((plan) => Crowd.start(ip, ports.callers, plan));
  t.teardown(() => crowds.forEach((crowd) => crowd.close()));
  return crowds;
}

Object.entries(MACHINE_CROWDS).forEach(([name, plans]) => {
  test.serial(`the smallest machine holds against ${name}`, async (t) => {
    const { deployment, relay, meter } = await smallMachine(t);
    const own = openDescriptors(relay.pid);
    const stream = ask(relay, emptyRequest('stream', `/stream/x?events=${EVENTS}&step=100`));
    const crowds = startCrowds(t, relay, plans);
    await Promise.all(crowds.map((crowd) => crowd.untilSettled()));
    const beside = await ask(relay, emptyRequest('beside', '/safe/x'));
    const { whole, body } = await stream;
    crowds.forEach((crowd) => crowd.close());
    const isReleased = await eventually(() => (
      openDescriptors(relay.pid) <= own + OTHER_DESCRIPTORS));
    const large = await ask(relay, requestHead('large', '/safe/x', LEGAL_LENGTH), ...(
      Array.from({ length: LEGAL_PARTS }, () => PART)));
    const after = await ask(relay, emptyRequest('after', '/safe/x'));
    const { megabytes, descriptors } = meter;
    t.log(`${megabytes} MB, ${own} descriptors, ${descriptors}, ${openDescriptors(relay.pid)}; `
      + `beside: ${beside.status}, large: ${large.status}, after: ${after.status}; `
      + `crowd: ${crowds.map(({ counts }) => counts).join('; ')}`);
    t.is(relay.exit, undefined, 'the process lives');
    t.true(megabytes <= MACHINE_MEGABYTES, `${megabytes} MB`);
    t.true(descriptors <= MACHINE_DESCRIPTORS - FILE_DESCRIPTORS, `${descriptors} descriptors`);
    t.true(isReleased, `${openDescriptors(relay.pid)} descriptors stay open`);
    t.true(whole && body.includes(`data: stream ${EVENTS}\n`), 'a stream that was under way ends');
    t.not(beside.status, 0, 'an ordinary request is answered beside the crowd');
    t.is(large.status, 200, 'a request of the largest size is served after the crowd');
    t.is(after.status, 200, 'an ordinary request is served after the crowd');
    // A status that promises that a request has not run has to be true.
    // Members of several crowds share their ids, as do those that come again.
    if (plans.length > 1) return;
    const isNumbered = plans[0]!.requests !== undefined;
    crowds[0]!.statuses.forEach((answers, index) => answers.forEach((status, count) => {
      const id = isNumbered ? `crowd-${index}-${count}` : `crowd-${index}`;
      if (status === 503) t.is(deployment.record.of(id).length, 0, id);
    }));
  });
});

const ALL_KINDS = MACHINE_CROWDS['clients of all kinds at once']!;
const DISTURBANCE_MS = 2_000;

test.serial('a crowd does not keep an instance that is told to stop from ending', async (t) => {
  const { relay, meter } = await smallMachine(t);
  startCrowds(t, relay, ALL_KINDS);
  await sleep(DISTURBANCE_MS / 2);
  relay.signal('SIGTERM');
  const { code, signal } = await relay.exited;
  t.log(`${meter.megabytes} MB, ${meter.descriptors} descriptors, ends with ${code}`);
  t.is(signal, null, 'it ends by itself');
  t.true(meter.megabytes <= MACHINE_MEGABYTES, `${meter.megabytes} MB`);
});

const DISTURBANCES: Readonly<Record<string, (
  (deployment: ProcessDeployment, relay: RelayProcess, isOn: boolean) => void)>> = {
  'while it is paused': (_, relay, isOn) => relay.signal(isOn ? 'SIGSTOP' : 'SIGCONT'),
  'while the store is away': ({ store }, _, isOn) => store.setOutage(isOn),
};

Object.entries(DISTURBANCES).forEach(([name, disturb]) => {
  test.serial(`the smallest machine holds against a crowd that comes ${name}`, async (t) => {
    const { deployment, relay, meter } = await smallMachine(t);
    disturb(deployment, relay, true);
    const crowds = startCrowds(t, relay, ALL_KINDS);
    await sleep(DISTURBANCE_MS);
    disturb(deployment, relay, false);
    await Promise.all(crowds.map((crowd) => crowd.untilSettled()));
    const beside = await ask(relay, emptyRequest('beside', '/safe/x'));
    t.log(`${meter.megabytes} MB, ${meter.descriptors} descriptors, beside: ${beside.status}`);
    t.is(relay.exit, undefined, 'the process lives');
    t.true(meter.megabytes <= MACHINE_MEGABYTES, `${meter.megabytes} MB`);
    t.true(meter.descriptors <= MACHINE_DESCRIPTORS - FILE_DESCRIPTORS);
    t.not(beside.status, 0, 'an ordinary request is answered');
  });
});
