/**
 * Lets a daemon that gets no response from the store copy the configuration and the servers from
 * another daemon. Imported on first use, since most daemons never need it.
 */
import type { Server } from 'node:http';
import { createTRPCClient, httpLink } from '@trpc/client';
import { initTRPC } from '@trpc/server';
import { createHTTPServer } from '@trpc/server/adapters/standalone';
import type { Listing } from '../store/objects.js';

/** Twice the time to transfer a large configuration between two zones. */
const TIMEOUT_MS = 500;

export interface Snapshot {
  /** The objects as the store holds them, with their versions. */
  readonly copies: { readonly configuration: Listing; readonly servers: Listing };
  /** How much longer a server whose entry is missing may still renew it. */
  readonly renewalMs: number;
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
  return response as Promise<Snapshot>;
}
