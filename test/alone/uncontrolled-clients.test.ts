/**
 * Crowds of clients that nobody controls against the program as a process. What is checked holds on
 * any machine: that the process lives, the memory and descriptors that it needs, and that it
 * answers an ordinary request afterwards; no times, and no share of requests that are served.
 */
import test from 'ava';
import { Crowd } from '../fakes/crowd.js';
import { CROWDS } from '../fakes/crowds.js';
import { eventually } from '../fakes/eventually.js';
import { emptyRequest, ProcessDeployment } from '../fakes/processdeployment.js';
import { openDescriptors, peakMegabytes } from '../fakes/processmeter.js';

/** What the process may hold for clients: much less than the crowds send. */
const BUDGET_BYTES = 16_777_216;
/** 62 MB without load; the rest is the budget, and what is freed late. */
const MAX_MEGABYTES = 150;
/** Listeners, and connections to the store and servers; a crowd's come on top. */
const OWN_DESCRIPTORS = 60;
const MAX_CONNECTIONS = 100;
const IDLE_CONNECTIONS = 300;

Object.entries(CROWDS).forEach(([name, plan]) => {
  test.serial(`memory and descriptors are not used up by ${name}`, async (t) => {
    const deployment = await ProcessDeployment.of({
      instances: 1,
      engines: 1,
      graceS: 5,
      limits: { IdleTimeoutMs: 2_000 },
      extraLines: [`Memory.BudgetBytes=${BUDGET_BYTES}`],
    });
    t.teardown(() => deployment.close());
    const relay = await deployment.start(0);
    t.true(await relay.untilReady(), 'ready');
    const { ip, ports } = relay.settings;
    const crowd = Crowd.start(ip, ports.callers, plan);
    t.teardown(() => crowd.close());
    await crowd.untilSettled();
    const descriptors = openDescriptors(relay.pid);
    const connection = await relay.connect();
    t.teardown(() => connection.close());
    connection.send(emptyRequest('ordinary', '/safe/x'));
    const ordinary = connection.answer().then(({ status }) => status);
    let status = 0;
    const isAnswered = await eventually(async () => {
      status = await Promise.race([ordinary, Promise.resolve(0)]);
      return status !== 0;
    });
    const megabytes = peakMegabytes(relay.pid);
    const isReleased = await eventually(() => openDescriptors(relay.pid) <= OWN_DESCRIPTORS);
    t.log(`${megabytes} MB, ${descriptors} descriptors, then ${openDescriptors(relay.pid)}, `
      + `ordinary request: ${status}, crowd: ${crowd.counts}`);
    t.is(relay.exit, undefined, 'the process lives');
    t.true(megabytes <= MAX_MEGABYTES, `${megabytes} MB`);
    t.true(descriptors <= OWN_DESCRIPTORS + plan.connections, `${descriptors} descriptors`);
    t.true(isReleased, `${openDescriptors(relay.pid)} descriptors stay open`);
    t.true(isAnswered, 'an ordinary request is answered');
    t.is(status, 200);
    // A status that promises that a request has not run has to be true.
    crowd.statuses.forEach(([answered], index) => {
      if (answered === 503) t.is(deployment.record.of(`crowd-${index}`).length, 0);
    });
  });
});

test.serial('descriptors are not used up by connections without a request', async (t) => {
  const deployment = await ProcessDeployment.of({
    instances: 1,
    engines: 1,
    graceS: 5,
    limits: { HeaderTimeoutMs: 60_000 },
    extraLines: [`Memory.MaxConnections=${MAX_CONNECTIONS}`],
  });
  t.teardown(() => deployment.close());
  const relay = await deployment.start(0);
  t.true(await relay.untilReady(), 'ready');
  const { ip, ports } = relay.settings;
  const crowd = Crowd.start(ip, ports.callers, {
    connections: IDLE_CONNECTIONS, head: () => 'P', part: Buffer.alloc(0), parts: 0,
  });
  t.teardown(() => crowd.close());
  await crowd.untilSettled();
  const isBounded = await eventually(() => (
    openDescriptors(relay.pid) <= OWN_DESCRIPTORS + MAX_CONNECTIONS));
  t.log(`${openDescriptors(relay.pid)} descriptors`);
  t.true(isBounded, `${openDescriptors(relay.pid)} descriptors`);
  const isAnswered = await eventually(async () => {
    const connection = await relay.connect();
    connection.send(emptyRequest('ordinary', '/safe/x'));
    const answer = await connection.answer();
    connection.close();
    return answer.status === 200;
  });
  t.true(isAnswered, 'an ordinary request is answered');
  t.is(relay.exit, undefined, 'the process lives');
});
