/** Runs the administration API of one instance on the loopback interface. */
import { Readable } from 'node:stream';
import type { ExecutionContext } from 'ava';
import { adminRouter } from '../../src/admin/router.js';
import { adminServer } from '../../src/admin/server.js';
import { runTool } from '../../src/cli/run.js';
import { sha256 } from '../../src/common/hash.js';
import { listen } from '../../src/common/listeners.js';
import type { Log, LogFields } from '../../src/common/log.js';
import { Random } from '../../src/common/random.js';
import { monotonicScheduler } from '../../src/common/time.js';
import { administrationOf } from '../../src/daemon/administration.js';
import { Instance } from '../../src/daemon/instance.js';
import { MemoryObjects } from '../../src/standin/objects.js';

export const ADMINISTRATOR_KEY = 'administrator-secret-key';

export interface Ran { readonly code: number; readonly out: string; readonly errors: string }

export interface AdministeredInstance {
  readonly address: string;
  readonly instance: Instance;
  readonly objects: MemoryObjects;
  /** Log lines, as `event {fields}`. */
  readonly lines: readonly string[];
  /** Runs the tool against this instance. */
  tool(...args: readonly string[]): Promise<Ran>;
}

/** Runs the command-line tool with `daemon` as the address in its environment. */
export async function runAgainst(
  daemon: string,
  args: readonly string[],
  environment: Readonly<Record<string, string>> = {},
  standardInput = '',
): Promise<Ran> {
  const texts = { out: '', errors: '' };
  const collect = (to: 'out' | 'errors') => ({
    write: (text: string) => {
      texts[to] += text;
    },
  });
  const code = await runTool(args, {
    out: collect('out'),
    errors: collect('errors'),
    environment: {
      SHALLOTSHUNT_DAEMON: daemon,
      SHALLOTSHUNT_KEY: ADMINISTRATOR_KEY,
      SHALLOTSHUNT_OPERATOR: 'ana',
      ...environment,
    },
    input: Readable.from([standardInput]),
  });
  return { code, ...texts };
}

/** Runs an instance without peers, with its administration API, until the test ends. */
export async function administered(t: ExecutionContext): Promise<AdministeredInstance> {
  const lines: string[] = [];
  const log: Log = {
    event: (_, event, fields: LogFields = {}) => {
      lines.push(`${event} ${JSON.stringify(fields)}`);
    },
  };
  const objects = MemoryObjects.of(monotonicScheduler, Random.of(1));
  const instance = Instance.of({ name: 'lis-1', zone: 'lis-a', peerAddress: '127.0.0.1:1' }, {
    scheduler: monotonicScheduler,
    wallClock: () => Date.now(),
    random: Random.of(2),
    log,
    dial: () => {
      throw new Error('there are no engines');
    },
    objects,
    list: { read: () => Promise.resolve([]) },
    network: {
      exchange: () => Promise.reject(new Error('there are no peers')),
      call: () => Promise.reject(new Error('there are no peers')),
    },
  });
  const running = instance.run.subscribe();
  const server = adminServer({
    router: adminRouter(administrationOf(instance), instance.publisher),
    administrators: [
      { name: 'deputy', keyHash: sha256('another key') },
      { name: 'chief', keyHash: sha256(ADMINISTRATOR_KEY) },
    ],
    log,
  });
  const address = await listen(server, { host: '127.0.0.1', port: 0 });
  t.teardown(() => {
    running.unsubscribe();
    server.close();
    server.closeAllConnections();
  });
  return {
    address, instance, objects, lines, tool: (...args) => runAgainst(address, args),
  };
}
