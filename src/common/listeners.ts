/** Runs listening servers as children of a supervisor. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Observable } from 'rxjs';
import { parseHostPort } from './address.js';
import type { HostPort } from './address.js';
import type { Child } from './supervisor.js';

/** Starts listening; resolves to the address, with the actual port if `port` is 0. */
export function listen(server: Server, { host, port }: HostPort): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(`${host}:${(server.address() as AddressInfo).port}`));
  });
}

/**
 * A server that listens while its child runs. Stopping it lets active connections finish; each
 * restart creates a new server.
 */
export function listenerOf(name: string, address: string, create: () => Server): Child {
  return {
    name,
    run: new Observable<never>((subscriber) => {
      const server = create();
      listen(server, parseHostPort(address)).catch((error: unknown) => subscriber.error(error));
      server.on('error', (error) => subscriber.error(error));
      return () => {
        server.close();
        server.closeIdleConnections();
      };
    }),
  };
}
