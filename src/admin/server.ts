/**
 * Serves the administration API over HTTP. Calls authenticate with an administrator's key as a
 * bearer token; the settings contain only digests, which are compared in constant time.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { equalSecrets, sha256 } from '../common/hash.js';
import type { Log } from '../common/log.js';
import { closeIfUnread } from '../entry/body.js';
import { Lingering } from '../entry/gracefulclose.js';
import { joinSmallChunks } from '../entry/smallchunks.js';
import type { AdminRouter } from './router.js';

const MAX_BODY_BYTES = 2_097_152;
const MAX_HEADER_BYTES = 16_384;
const REQUEST_TIMEOUT_MS = 30_000;
/** A few administrators and their tools; each may hold a body of the largest size. */
const MAX_CONNECTIONS = 16;
const UNAUTHORIZED = 401;

export interface Administrator {
  readonly name: string;
  /** SHA-256 of the key, in hexadecimal. */
  readonly keyHash: string;
}

export interface AdminServerOptions {
  readonly router: AdminRouter;
  readonly administrators: readonly Administrator[];
  readonly log: Log;
}

/** Compares every key, so that the timing doesn't reveal a near match. */
function authenticate(
  req: IncomingMessage,
  administrators: readonly Administrator[],
): string | undefined {
  const [, key = ''] = /^Bearer (\S+)$/.exec(req.headers.authorization ?? '') ?? [];
  const hash = sha256(key);
  return administrators.reduce<string | undefined>((found, { name, keyHash }) => (
    equalSecrets(keyHash, hash) ? name : found), undefined);
}

/** Creates the HTTP server for administrators; the daemon makes it listen and closes it. */
export function adminServer({ router, administrators, log }: AdminServerOptions): Server {
  const handler = createHTTPHandler({
    router,
    maxBodySize: MAX_BODY_BYTES,
    createContext: ({ req }) => ({
      administrator: authenticate(req, administrators) ?? 'unknown',
    }),
  });
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: REQUEST_TIMEOUT_MS,
  }, (req, res) => {
    joinSmallChunks(req);
    res.on('error', () => undefined);
    const administrator = authenticate(req, administrators);
    if (administrator === undefined) {
      log.event('warn', 'admin_refused', { from: req.socket.remoteAddress });
      closeIfUnread(req, res);
      res.writeHead(UNAUTHORIZED, { 'content-type': 'application/json' });
      res.end('{"error":{"code":"unauthorized","message":"an administrator key is needed"}}');
      return;
    }
    log.event('info', 'admin_call', {
      administrator, method: req.method, path: (req.url ?? '').split('?')[0],
    });
    handler(req, res);
  });
  const lingering = Lingering.of();
  server.on('connection', (socket) => lingering.closeGracefully(socket));
  server.maxConnections = MAX_CONNECTIONS;
  return server;
}
