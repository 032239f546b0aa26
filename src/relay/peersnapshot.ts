/**
 * Lets a daemon that gets no response from the store copy the configuration and the servers from
 * another daemon. Imported on first use, since most daemons never need it.
 */
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import { initTRPC } from '@trpc/server';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { monotonicScheduler } from '../common/time.js';
import { parseJson, StoreCalls } from '../store/calls.js';
import { VERSION_LIMIT } from '../store/epoch.js';
import type { Listing, StoredObject } from '../store/objects.js';
import { closeIfUnread } from '../entry/body.js';
import { Lingering } from '../entry/gracefulclose.js';
import { joinSmallChunks } from '../entry/smallchunks.js';
import { readForwarded } from './forwardedrequest.js';

/** Twice the time to transfer a large configuration between two zones. */
const TIMEOUT_MS = 500;

/** More than the heads of callers' requests, of which forwarded ones have some more. */
const MAX_HEADER_BYTES = 131_072;

/** A query for a snapshot has no body. */
const MAX_QUERY_BYTES = 1_024;
/** Some from each of several hundred instances. */
const MAX_CONNECTIONS = 2_048;

export interface Snapshot {
  /** The objects as the store holds them, with their versions. */
  readonly copies: { readonly configuration: Listing; readonly servers: Listing };
  /** How much longer a server whose entry is missing may still renew it. */
  readonly renewalMs: number;
}

const VERSION = z.number().int().min(0).lt(VERSION_LIMIT);
const OBJECT = z.object({ name: z.string(), version: VERSION, value: z.string() });
const NAMED = z.object({ name: z.string() });

/** As in the store's own answers, one that can't be read keeps its name and has no other value. */
function readObject(item: unknown, version: number): readonly StoredObject[] {
  const object = OBJECT.safeParse(item);
  if (object.success) return [object.data];
  const named = NAMED.safeParse(item);
  return named.success ? [{ name: named.data.name, version, value: 'null' }] : [];
}

const LISTING = z.object({ version: VERSION, objects: z.array(z.unknown()) })
  .transform(({ version, objects }): Listing => (
    { version, objects: objects.flatMap((item) => readObject(item, version)) }));
const SNAPSHOT = z.object({
  copies: z.object({ configuration: LISTING, servers: LISTING }),
  renewalMs: z.number().min(0),
});

/** The answer to a query, as tRPC sends it over HTTP. */
const ANSWER = z.object({ result: z.object({ data: z.unknown() }) });

const trpc = initTRPC.create();

function createRouter(snapshot: () => Snapshot) {
  return trpc.router({ snapshot: trpc.procedure.query(snapshot) });
}

/** Serves other daemons: snapshots, and the requests that they forward. */
export function peerServer(snapshot: () => Snapshot, onForwarded: RequestListener): Server {
  const onSnapshot = createHTTPHandler({
    router: createRouter(snapshot), maxBodySize: MAX_QUERY_BYTES,
  });
  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, (req, res) => {
    joinSmallChunks(req);
    if (readForwarded(req.rawHeaders)) onForwarded(req, res);
    else {
      closeIfUnread(req, res);
      onSnapshot(req, res);
    }
  });
  // An instance whose forwarded request is refused may still be sending its body.
  const lingering = Lingering.of();
  server.on('connection', (socket) => lingering.closeGracefully(socket));
  server.maxConnections = MAX_CONNECTIONS;
  return server;
}

export function readSnapshot(response: unknown): Result<Snapshot, string> {
  const read = SNAPSHOT.safeParse(response);
  return read.success ? ok(read.data) : err(read.error.message);
}

/**
 * Rejects if the snapshot can't be read. tRPC's client would read an answer of any length.
 * @param address `host:port` of the other daemon
 */
export async function fetchSnapshot(address: string): Promise<Snapshot> {
  const calls = StoreCalls.of(address, monotonicScheduler);
  const query = { method: 'GET', path: '/snapshot', headers: {} } as const;
  const answer = await calls.send(query, TIMEOUT_MS, 'own');
  if (answer.isErr()) throw new Error(`no snapshot: ${answer.error.message}`);
  const { result } = ANSWER.safeParse(parseJson(answer.value.text)).data ?? {};
  const read = readSnapshot(result?.data);
  if (read.isErr()) throw new Error(`the snapshot is unreadable: ${read.error}`);
  return read.value;
}
