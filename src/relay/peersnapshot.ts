/**
 * Lets a daemon that gets no response from the store copy the configuration and the servers from
 * another daemon. Imported on first use, since most daemons never need it.
 */
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import { createTRPCClient, httpLink } from '@trpc/client';
import { initTRPC } from '@trpc/server';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { z } from 'zod';
import { readForwarded } from './forwardedrequest.js';
import type { Listing } from '../store/objects.js';

/** Twice the time to transfer a large configuration between two zones. */
const TIMEOUT_MS = 500;

/** More than the heads of callers' requests, of which forwarded ones have some more. */
const MAX_HEADER_BYTES = 131_072;

export interface Snapshot {
  /** The objects as the store holds them, with their versions. */
  readonly copies: { readonly configuration: Listing; readonly servers: Listing };
  /** How much longer a server whose entry is missing may still renew it. */
  readonly renewalMs: number;
}

const LISTING = z.object({
  version: z.number(),
  objects: z.array(z.object({ name: z.string(), version: z.number(), value: z.string() })),
});
const SNAPSHOT = z.object({
  copies: z.object({ configuration: LISTING, servers: LISTING }),
  renewalMs: z.number().min(0),
});

const trpc = initTRPC.create();

function createRouter(snapshot: () => Snapshot) {
  return trpc.router({ snapshot: trpc.procedure.query(snapshot) });
}

type SnapshotRouter = ReturnType<typeof createRouter>;

/** Serves other daemons: snapshots, and the requests that they forward. */
export function peerServer(snapshot: () => Snapshot, onForwarded: RequestListener): Server {
  const onSnapshot = createHTTPHandler({ router: createRouter(snapshot) });
  return createServer({ maxHeaderSize: MAX_HEADER_BYTES }, (req, res) => {
    if (readForwarded(req.rawHeaders)) onForwarded(req, res);
    else onSnapshot(req, res);
  });
}

/**
 * Rejects if the snapshot can't be read.
 * @param address `host:port` of the other daemon
 */
export async function fetchSnapshot(address: string): Promise<Snapshot> {
  const client = createTRPCClient<SnapshotRouter>({
    links: [httpLink({ url: `http://${address}` })],
  });
  const response: unknown = client.snapshot.query(undefined, {
    signal: AbortSignal.timeout(TIMEOUT_MS),
  });
  const read = SNAPSHOT.safeParse(await response);
  if (!read.success) throw new Error(`the snapshot is unreadable: ${read.error.message}`);
  return read.data;
}
