/**
 * The demonstration deployment: one daemon, three engines, an object API and an instance list, all
 * in one process and on the loopback interface. Everything but the daemon is a stand-in.
 */
import type { Server } from 'node:http';
import type { Subscription } from 'rxjs';
import { sha256 } from '../common/hash.js';
import { listen } from '../common/listeners.js';
import { ConsoleLog, silentLog } from '../common/log.js';
import { MAX_SEED, Random } from '../common/random.js';
import { monotonicScheduler } from '../common/time.js';
import { Publisher } from '../configuration/publisher.js';
import { StandInEngine } from '../standin/engine.js';
import { engineServer } from '../standin/engineserver.js';
import { LaggingList, listServer } from '../standin/listserver.js';
import { MemoryObjects } from '../standin/objects.js';
import { ObjectServer } from '../standin/objectserver.js';
import { Daemon } from './daemon.js';
import { readSettings } from './settings.js';
import type { Settings } from './settings.js';

const LOOPBACK = '127.0.0.1';
const ANY_PORT = { host: LOOPBACK, port: 0 };
const CALLERS_PORT = 8_080;
const ENGINE_COUNT = 3;
const STEP_MS = 20;
const MODEL = 'listing';
const VERSION = '1';
const SERVING_POLL_MS = 50;

export const DEMO_KEY = 'demo-key';
const ADMINISTRATOR_KEY = 'demo-administrator';

export interface DemoEngine { readonly engine: StandInEngine; readonly server: Server }

export interface DemoAddresses {
  readonly callers: string;
  readonly peers: string;
  readonly administrators: string;
}

export interface Demo {
  readonly addresses: DemoAddresses;
  readonly engines: readonly DemoEngine[];
  stop(): Promise<void>;
}

interface Platform {
  readonly objects: ObjectServer;
  readonly list: Server;
  readonly listAddress: string;
}

/** The demonstration's configuration, as the only file of an operator's folder. */
function demoFile(engines: readonly string[]): string {
  return [
    '[deployment]\nname = "demo"\nfavour = "latency"\nzones = ["demo-a"]\n',
    `[models.${MODEL}]\nversion = "${VERSION}"\nreplicas = ${ENGINE_COUNT}\nrepeat = "safe"\n`,
    '[pools.engines]\nconcurrency_per_server = 64\n',
    ...engines.map((address, index) => `[servers.engine-${index + 1}]
address = "${address}"
zone = "demo-a"
pool = "engines"
checks_fence = true
`),
    `[workspaces.demo]\nkey_hashes = ["${sha256(DEMO_KEY)}"]\n`,
  ].join('\n');
}

async function startEngine(name: string, random: Random) {
  const engine = StandInEngine.of({
    name, stepMs: STEP_MS, models: [{ model: MODEL, version: VERSION, adapters: [] }],
  }, monotonicScheduler, random.identifier());
  const server = engineServer(engine);
  return { engine, server, address: await listen(server, ANY_PORT) };
}

async function startPlatform(random: Random, file: string): Promise<Platform> {
  const objects = MemoryObjects.of(monotonicScheduler, random);
  const publisher = Publisher.of({
    api: objects, scheduler: monotonicScheduler, random, wallClock: () => Date.now(),
  });
  await publisher.put('demo.toml', file, { who: 'demo' });
  const list = listServer(LaggingList.of(monotonicScheduler, 0));
  return {
    objects: await ObjectServer.listen(objects, monotonicScheduler, LOOPBACK, 0),
    list,
    listAddress: await listen(list, ANY_PORT),
  };
}

function settingsOf(addresses: DemoAddresses, { objects, listAddress }: Platform): Settings {
  const { settings, findings } = readSettings('demo', `
    name = "demo-1"
    zone = "demo-a"
    [listen]
    callers = "${addresses.callers}"
    peers = "${addresses.peers}"
    administrators = "${addresses.administrators}"
    [platform]
    objects = "${objects.address}"
    instances = "http://${listAddress}/instances"
    [keys]
    peers = "demonstration-peer-key"
    cursors = "demonstration-cursor-key"
    [[keys.administrators]]
    name = "demo"
    key_hash = "${sha256(ADMINISTRATOR_KEY)}"
    [stop]
    balancer_lag = "0s"
  `);
  if (!settings) throw new Error(JSON.stringify(findings));
  return settings;
}

/** Resolves once the daemon has a configuration and a report from every engine. */
async function waitUntilServing({ instance }: Daemon): Promise<void> {
  const isServing = () => instance.ready
    && instance.monitor.engines().filter(({ report }) => report).length === ENGINE_COUNT;
  while (!isServing()) {
    // eslint-disable-next-line no-await-in-loop -- polls at intervals
    await new Promise((resolve) => {
      setTimeout(resolve, SERVING_POLL_MS);
    });
  }
}

/** @param firstPort the first of three consecutive ports: callers, peers, administrators */
export async function startDemo(firstPort: number, quiet = false): Promise<Demo> {
  const log = quiet ? silentLog : ConsoleLog.of('info', { instance: 'demo-1' });
  const random = Random.of(Date.now() % MAX_SEED);
  const engines = await Promise.all(Array.from({ length: ENGINE_COUNT }, (_, index) => (
    startEngine(`engine-${index + 1}`, random))));
  const platform = await startPlatform(random, demoFile(engines.map(({ address }) => address)));
  const addresses: DemoAddresses = {
    callers: `${LOOPBACK}:${firstPort}`,
    peers: `${LOOPBACK}:${firstPort + 1}`,
    administrators: `${LOOPBACK}:${firstPort + 2}`,
  };
  const daemon = Daemon.of(settingsOf(addresses, platform), random, log);
  const running: Subscription = daemon.run.subscribe();
  await waitUntilServing(daemon);
  return {
    addresses,
    engines,
    stop: async () => {
      running.unsubscribe();
      [platform.list, ...engines.map(({ server }) => server)].forEach((server) => {
        server.close();
        server.closeAllConnections();
      });
      await platform.objects.close();
    },
  };
}

/** Runs the demonstration until the process is stopped, and prints commands to try it. */
export async function runDemo(): Promise<void> {
  const { addresses } = await startDemo(CALLERS_PORT);
  const body = `{"model":"${MODEL}","prompt":"List the ovens","max_tokens":60,"stream":true}`;
  process.stdout.write([
    'A demonstration deployment with stand-in engines runs in this process.',
    `callers:        http://${addresses.callers}`,
    `administrators: http://${addresses.administrators} (key ${ADMINISTRATOR_KEY})`,
    '',
    `curl -N http://${addresses.callers}/v1/completions \\`,
    `  -H 'Authorization: Bearer ${DEMO_KEY}' -d '${body}'`,
    '',
    `SHALLOTSHUNT_DAEMON=${addresses.administrators} SHALLOTSHUNT_KEY=${ADMINISTRATOR_KEY} \\`,
    '  node bin/shallotshunt.mjs engines',
    '',
  ].join('\n'));
  const stop = () => process.exit(0);
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}
