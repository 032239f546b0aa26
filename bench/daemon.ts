/** A daemon for measurements, with the policy under comparison in place of the system's own. */
import type { AddressInfo } from 'node:net';
import { ok } from 'neverthrow';
import { BehaviorSubject } from 'rxjs';
import { ConsoleLog, silentLog } from '../src/common/log.js';
import { Random } from '../src/common/random.js';
import { monotonicScheduler } from '../src/common/time.js';
import { HttpEngineClient } from '../src/engines/client.js';
import { EngineMonitor } from '../src/engines/monitor.js';
import { Gateway } from '../src/entry/gateway.js';
import { EntryServer } from '../src/entry/server.js';
import type { Dispatcher } from '../src/routing/dispatcher.js';
import { Router } from '../src/routing/router.js';
import {
  chooserOf, fixedTimeout, simpleDispatcher, withoutResume,
} from './baseline.js';
import type { DaemonSetup } from './deployed.js';

const {
  name, baseline, timeoutMs = 1_000, configuration,
} = JSON.parse(process.argv[2] ?? '') as DaemonSetup;
const random = Random.of(process.pid);
const configurations = new BehaviorSubject(configuration);
const current = () => configurations.value;
const monitor = EngineMonitor.of(({ address }) => HttpEngineClient.of(address), monotonicScheduler);
const router = Router.of({
  directory: monitor,
  configurations,
  admissions: { admit: () => ok({ release: () => undefined }) },
  scheduler: monotonicScheduler,
  random,
  log: silentLog,
  daemons: () => 1,
  leaving: () => new Set(),
  zone: configuration.deployment.zones[process.pid % configuration.deployment.zones.length]!,
});
monitor.start(configurations);
router.start();

function dispatcher(): Dispatcher {
  switch (baseline) {
    case 'ours':
    case 'fixed_timeout': return router;
    case 'restart': return withoutResume(router);
    case 'random':
    case 'round_robin': return simpleDispatcher(monitor, current, chooserOf(baseline, random));
  }
}

const gateway = Gateway.of({
  dispatcher: dispatcher(),
  directory: monitor,
  watcher: baseline === 'fixed_timeout' ? fixedTimeout(timeoutMs, monotonicScheduler) : monitor,
  ...(baseline === 'fixed_timeout' ? { hedges: () => false } : {}),
  log: silentLog,
  configuration: current,
});
const server = EntryServer.of(gateway, random);
server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as AddressInfo;
  ConsoleLog.of('info').event('info', 'daemon_listening', { name, address: `127.0.0.1:${port}` });
});
