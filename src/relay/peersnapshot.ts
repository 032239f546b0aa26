/**
 * Lets a daemon that gets no response from the store copy the configuration and the servers from
 * another daemon. Imported on first use, since most daemons never need it.
 */
import type { Server } from 'node:http';
import { createTRPCClient, httpLink } from '@trpc/client';
import { initTRPC } from '@trpc/server';
import { createHTTPServer } from '@trpc/server/adapters/standalone';
import type { RelayConfiguration } from './routes.js';
import type { ServerEntry } from './serverentry.js';

/** Twice the time to transfer a large configuration between two zones. */
const TIMEOUT_MS = 500;

export interface Snapshot {
  readonly configuration: RelayConfiguration | undefined;
  readonly servers: readonly ServerEntry[];
}

const trpc = initTRPC.create();

function createRouter(snapshot: () => Snapshot) {
  return trpc.router({ snapshot: trpc.procedure.query(snapshot) });
}

type SnapshotRouter = ReturnType<typeof createRouter>;

export function snapshotServer(snapshot: () => Snapshot): Server {
  const server: Server = createHTTPServer({ router: createRouter(snapshot) });
  return server;
}

/** @param address `host:port` of the other daemon */
export function fetchSnapshot(address: string): Promise<Snapshot> {
  const client = createTRPCClient<SnapshotRouter>({
    links: [httpLink({ url: `http://${address}` })],
  });
  const response: unknown = client.snapshot.query(undefined, {
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  // JSON omits undefined fields, so the inferred type declares them optional.
  return response as Promise<Snapshot>;
}
