/** A TCP relay between a daemon and a service, which can lose the route. */
import { createServer, connect as connectTo } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

const LOOPBACK = '127.0.0.1';

/** Carries connections to an address, until it is told to carry nothing more. */
export class Relay {
  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  #cut = false;

  private constructor(target: string) {
    const [host = '', port = ''] = target.split(':');
    this.#server = createServer((near) => {
      const far = connectTo(Number(port), host);
      [near, far].forEach((socket) => {
        this.#sockets.add(socket);
        socket.on('error', () => undefined);
        socket.on('close', () => {
          this.#sockets.delete(socket);
          near.destroy();
          far.destroy();
        });
      });
      near.on('data', (bytes) => (this.#cut ? undefined : far.write(bytes)));
      far.on('data', (bytes) => (this.#cut ? undefined : near.write(bytes)));
    });
  }

  static async to(target: string): Promise<{ relay: Relay; address: string }> {
    const relay = new Relay(target);
    await new Promise<void>((resolve) => {
      relay.#server.listen(0, LOOPBACK, resolve);
    });
    return { relay, address: `${LOOPBACK}:${(relay.#server.address() as AddressInfo).port}` };
  }

  /** Bytes are dropped while the relay is cut; connections stay open, as behind a lost route. */
  cut(cut: boolean): void {
    this.#cut = cut;
    // What lost bytes can't go on.
    if (!cut) this.#sockets.forEach((socket) => socket.destroy());
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }
}
