/** The fleet of the control measurements: daemons, the platform's stand-ins and engines. */
import { mkdtempSync, rmSync } from 'node:fs';
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { request } from 'node:http';
import { text as readText } from 'node:stream/consumers';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { monotonicScheduler } from '../src/common/time.js';
import { listen } from '../src/common/listeners.js';
import type { CallCounts, ObjectFaults } from '../src/standin/objects.js';
import { LaggingList, listServer } from '../src/standin/listserver.js';
import { sleep } from './deployed.js';
import { Program } from './fleet.js';
import { ControlDaemon } from './controldaemon.js';
import { Relay } from './controlrelay.js';

const LOOPBACK = '127.0.0.1';
const ANY_PORT = { host: LOOPBACK, port: 0 };
const LIST_LAG_MS = 2_000;
const START_MS = 15_000;
const RETRY_MS = 100;
const ZONES = ['lis-a', 'lis-b', 'lis-c'];

export interface FleetOptions {
  readonly daemons: number;
  readonly engines: number;
  /** Flags of Node.js for the daemons. */
  readonly flags: readonly string[];
}

/** Ports that were free a moment ago. */
async function freePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => (
    new Promise<Server>((resolve) => {
      const server = createServer();
      server.listen(0, LOOPBACK, () => resolve(server));
    }))));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => new Promise((resolve) => {
    server.close(resolve);
  })));
  return ports;
}

/** The operators' file that the fleet begins with. */
function baseFile(engines: readonly Program[]): string {
  return [
    `[deployment]\nname = "bench"\nzones = ["${ZONES.join('", "')}"]`,
    '[models.listing]\nversion = "1"\nrepeat = "safe"\nreplicas = 1\n[pools.engines]',
    ...engines.map(({ address }, index) => `[servers.engine-${index}]\naddress = "${address}"
zone = "${ZONES[index % ZONES.length]}"\npool = "engines"`),
    '',
  ].join('\n');
}

export class ControlFleet {
  readonly daemons: readonly ControlDaemon[];

  readonly #objects: Program;

  readonly #relay: Relay;

  readonly #engines: readonly Program[];

  readonly #list: { close(): unknown };

  readonly #directory: string;

  private constructor(
    daemons: readonly ControlDaemon[],
    parts: {
      objects: Program;
      relay: Relay;
      engines: readonly Program[];
      list: { close(): unknown };
      directory: string;
    },
  ) {
    this.daemons = daemons;
    this.#objects = parts.objects;
    this.#relay = parts.relay;
    this.#engines = parts.engines;
    this.#list = parts.list;
    this.#directory = parts.directory;
  }

  /** Starts everything and waits until all daemons work by the first revision. */
  static async start({ daemons: count, engines: engineCount, flags }: FleetOptions) {
    const directory = mkdtempSync(join(tmpdir(), 'shallotshunt-control-'));
    const objects = await Program.start('objects', ['--listen', `${LOOPBACK}:0`]);
    const { relay, address: relayed } = await Relay.to(objects.address);
    const engines = await Promise.all(Array.from({ length: engineCount }, (_, index) => (
      Program.start('engine', ['--listen', `${LOOPBACK}:0`, '--name', `engine-${index}`]))));
    const instances = LaggingList.of(monotonicScheduler, LIST_LAG_MS);
    const list = listServer(instances);
    const listAddress = await listen(list, ANY_PORT);
    const ports = (await freePorts(3 * count)).map((port) => `${LOOPBACK}:${port}`);
    const daemons = Array.from({ length: count }, (_, index) => ControlDaemon.of({
      name: `daemon-${index}`,
      zone: ZONES[index % ZONES.length]!,
      callers: ports[3 * index]!,
      peers: ports[3 * index + 1]!,
      administrators: ports[3 * index + 2]!,
      objects: index % 3 === 2 ? relayed : objects.address,
      list: listAddress,
    }, directory, flags));
    daemons.forEach(({ settings: { name, zone, peers } }) => instances.put({
      name, zone, peerAddress: peers, state: 'live',
    }));
    const fleet = new ControlFleet(daemons, {
      objects, relay, engines, list, directory,
    });
    const started = daemons.map((daemon) => {
      daemon.start();
      return daemon.next(({ event }) => event === 'started', START_MS);
    });
    await Promise.all(started);
    await fleet.#configure(baseFile(engines));
    return fleet;
  }

  /** Tries until the first daemon listens, and waits until every daemon works by the file. */
  async #configure(text: string): Promise<void> {
    const inForce = Promise.all(this.daemons.map((daemon) => daemon.inForce(1, START_MS)));
    const put = () => this.daemons[0]!.connection.configuration.put.mutate({
      file: '00-base.toml', text, who: 'bench',
    });
    for (let left = START_MS / RETRY_MS; left > 0; left -= 1) {
      // eslint-disable-next-line no-await-in-loop -- one try after the other
      if (await put().then(() => true, () => false)) break;
      // eslint-disable-next-line no-await-in-loop -- a pause between two tries
      await sleep(RETRY_MS);
    }
    await inForce;
  }

  /** Keeps one in three daemons from the store, or lets them reach it again. */
  cutStore(cut: boolean): void {
    this.#relay.cut(cut);
  }

  /** Switches faults of the store and tells the calls that it has received. */
  store(faults?: Partial<ObjectFaults>): Promise<CallCounts> {
    const [host, port] = this.#objects.address.split(':');
    const method = faults ? 'PUT' : 'GET';
    return new Promise((resolve, reject) => {
      const req = request({
        host, port, method, path: '/control', agent: false,
      }, (res) => {
        readText(res).then(
          (body) => resolve((JSON.parse(body) as { counts: CallCounts }).counts),
          reject,
        );
      });
      req.on('error', reject);
      req.end(faults && JSON.stringify(faults));
    });
  }

  async stop(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.end('SIGKILL')));
    [this.#objects, ...this.#engines].forEach((program) => program.kill());
    this.#relay.close();
    this.#list.close();
    rmSync(this.#directory, { recursive: true });
  }
}
