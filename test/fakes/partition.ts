/** Cuts one instance's connections to backend servers, each of which it reaches by a proxy. */
import type { ExecutionContext } from 'ava';
import type { Relay } from './relay.js';
import type { RelayEngine, RelayEngineOptions } from './relayengine.js';
import { ServerProxy } from './serverproxy.js';
import type { Cut } from './serverproxy.js';

interface Path { readonly proxy: ServerProxy; readonly options: RelayEngineOptions }

/** The paths of one instance to servers. */
export class Partition {
  readonly #paths: readonly Path[];

  readonly #cut: Path[] = [];

  private constructor(paths: readonly Path[]) {
    this.#paths = paths;
  }

  /** Lists the servers at an instance under the addresses of proxies. */
  static async of(
    t: ExecutionContext,
    relay: Relay,
    servers: readonly { readonly server: RelayEngine; readonly service: string }[],
  ): Promise<Partition> {
    const paths = await Promise.all(servers.map(async ({ server, service }) => {
      const proxy = new ServerProxy(server.address);
      await proxy.start();
      await relay.putEntry(server, service, { address: `127.0.0.1:${proxy.port}` });
      return { proxy, options: server.options };
    }));
    t.teardown(() => paths.forEach(({ proxy }) => proxy.stop()));
    return new Partition(paths);
  }

  async cut(kind: Cut): Promise<void> {
    await this.cutWhere(kind, () => true);
  }

  /** Cuts the paths to some servers. */
  async cutWhere(kind: Cut, isCut: (server: RelayEngineOptions) => boolean): Promise<void> {
    const cut = this.#paths.filter(({ options }) => isCut(options));
    this.#cut.push(...cut);
    await Promise.all(cut.map(({ proxy }) => proxy.cut(kind)));
  }

  async heal(): Promise<void> {
    await Promise.all(this.#cut.splice(0).map(({ proxy }) => proxy.heal()));
  }
}
