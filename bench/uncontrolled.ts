/**
 * Plays one crowd of clients that nobody controls against the program as a process, by hand:
 * `tsx bench/uncontrolled.ts CROWD CONNECTIONS [SETTING=VALUE...]`. Prints the resident memory.
 */
import { Crowd } from '../test/fakes/crowd.js';
import { CROWDS } from '../test/fakes/crowds.js';
import { emptyRequest, ProcessDeployment } from '../test/fakes/processdeployment.js';
import { openDescriptors, peakMegabytes } from '../test/fakes/processmeter.js';

const [name = '', connections = '200', ...extraLines] = process.argv.slice(2);

async function main(): Promise<void> {
  const [title, plan] = Object.entries(CROWDS).find(([key]) => key.includes(name)) ?? [];
  if (!plan) throw new Error(`one of: ${Object.keys(CROWDS).join('; ')}`);
  const deployment = await ProcessDeployment.of({
    instances: 1, engines: 1, graceS: 5, extraLines,
  });
  const relay = await deployment.start(0);
  await relay.untilReady();
  const before = peakMegabytes(relay.pid);
  const { ip, ports } = relay.settings;
  const startedAt = performance.now();
  const crowd = Crowd.start(ip, ports.callers, { ...plan, connections: Number(connections) });
  await crowd.untilSettled();
  const descriptors = openDescriptors(relay.pid);
  const settledMs = Math.round(performance.now() - startedAt);
  const connection = await relay.connect();
  connection.send(emptyRequest('ordinary', '/safe/x'));
  const sentAt = performance.now();
  const { status, endedAt } = await connection.answer();
  process.stdout.write(`${title}, ${connections} connections: ${before} MB, then `
    + `${peakMegabytes(relay.pid)} MB, ${descriptors} descriptors, settled in ${settledMs} ms, `
    + `ordinary request ${status} in ${Math.round(endedAt - sentAt)} ms, ${crowd.counts}\n`);
  crowd.close();
  connection.close();
  deployment.close();
}

await main();
process.exit();
