/** The HTTP server towards callers: its limits, and the answers to what isn't HTTP. */
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import type { Socket } from 'node:net';
import { bodyOf } from '../common/refusal.js';
import type { RefusalCode } from '../common/refusal.js';

const MAX_HEADER_BYTES = 16 * 1024;
const REQUEST_TIMEOUT_MS = 300_000;
const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const CONNECTIONS_CHECK_MS = 1_000;

/** What Node's parser refuses, in the form of every other refusal. */
function refuseBytes(error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable || socket.bytesWritten > 0) {
    socket.destroy();
    return;
  }
  const [status, code]: [string, RefusalCode] = error.code === 'HPE_HEADER_OVERFLOW'
    ? ['431 Request Header Fields Too Large', 'too_large']
    : ['400 Bad Request', 'bad_request'];
  const timedOut = error.code === 'ERR_HTTP_REQUEST_TIMEOUT';
  const body = bodyOf({
    code: timedOut ? 'timeout' : code, message: error.message, ran: 'no',
  });
  socket.end([
    `HTTP/1.1 ${timedOut ? '408 Request Timeout' : status}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
    '',
    body,
  ].join('\r\n'));
}

/** An HTTP server towards callers, with limits on heads, times and what isn't HTTP. */
export function callersServer(listener: RequestListener): Server {
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    requestTimeout: REQUEST_TIMEOUT_MS,
    headersTimeout: HEADERS_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connectionsCheckingInterval: CONNECTIONS_CHECK_MS,
    noDelay: true,
  }, listener);
  server.on('clientError', refuseBytes);
  return server;
}
