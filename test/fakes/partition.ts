/** Cuts one instance's connections to backend servers, each of which it reaches by a proxy. */
import type { ExecutionContext } from 'ava';
import type { Relay } from './relay.js';
import type { RelayEngine } from './relayengine.js';
import { ServerProxy } from './serverproxy.js';
import type { Cut } from './serverproxy.js';

/** The paths of one instance to servers. */
export class Partition {
  readonly #proxies: readonly ServerProxy[];

  private constructor(proxies: readonly ServerProxy[]) {
    this.#proxies = proxies;
  }

  /** Lists the servers at an instance under the addresses of proxies. */
  static async of(
    t: ExecutionContext,
    relay: Relay,
    servers: readonly { readonly server: RelayEngine; readonly service: string }[],
  ): Promise<Partition> {
    const proxies = await Promise.all(servers.map(async ({ server, service }) => {
      const proxy = new ServerProxy(server.address);
      await proxy.start();
      await relay.putEntry(server, service, { address: `127.0.0.1:${proxy.port}` });
      return proxy;
    }));
    t.teardown(() => proxies.forEach((proxy) => proxy.stop()));
    return new Partition(proxies);
  }

  async cut(kind: Cut, count = this.#proxies.length): Promise<void> {
    await Promise.all(this.#proxies.slice(0, count).map((proxy) => proxy.cut(kind)));
  }

  async heal(): Promise<void> {
    await Promise.all(this.#proxies.map((proxy) => proxy.heal()));
  }
}
