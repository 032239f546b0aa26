/** The HTTP server towards callers: its limits, and the answers to what isn't HTTP. */
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import type { Socket } from 'node:net';
import { bodyOf } from '../common/refusal.js';
import type { RefusalCode } from '../common/refusal.js';

/** What a caller may send before its request is read, and how long it may take. */
export interface HeadLimits {
  readonly maxHeaderBytes: number;
  readonly headerTimeoutMs: number;
  /** How long a connection may stay open without a request. */
  readonly idleTimeoutMs: number;
}

export const DEFAULT_HEAD_LIMITS: HeadLimits = {
  maxHeaderBytes: 16 * 1024, headerTimeoutMs: 10_000, idleTimeoutMs: 65_000,
};

/** Room for the request line, which Node counts among the headers. */
const REQUEST_LINE_BYTES = 2_048;
/** Longest time for a whole request; bodies have limits of their own. */
const REQUEST_TIMEOUT_MS = 300_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** Puts limits in force for connections that open from now on, and for pauses between requests. */
export function applyHeadLimits(server: Server, limits: HeadLimits): void {
  const { maxHeaderBytes, headerTimeoutMs, idleTimeoutMs } = limits;
  Object.assign(server, {
    // Node reads it for each connection; its types leave it out.
    maxHeaderSize: maxHeaderBytes + REQUEST_LINE_BYTES,
    headersTimeout: headerTimeoutMs,
    keepAliveTimeout: idleTimeoutMs,
  });
}

/** What Node's parser refuses, in the form of every other refusal. */
function sendParseError(error: NodeJS.ErrnoException, socket: Socket): void {
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
export function createCallerServer(listener: RequestListener): Server {
  const server = createServer({
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    noDelay: true,
  }, listener);
  applyHeadLimits(server, DEFAULT_HEAD_LIMITS);
  server.on('clientError', sendParseError);
  return server;
}
