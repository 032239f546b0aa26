/**
 * Creates HTTP servers for callers, with limits on request heads and connection times. A server
 * that closes spares connections with an answer that is not flushed yet.
 */
import { Server } from 'node:http';
import type {
  IncomingMessage, RequestListener, ServerOptions, ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';
import { filter, Subject, take } from 'rxjs';
import { bodyOf } from '../common/refusal.js';
import type { RefusalCode } from '../common/refusal.js';
import type { Drain } from './drain.js';
import { FirstReads } from './firstreads.js';
import { discardSlowly, Lingering } from './gracefulclose.js';
import { RequestLine } from './requestline.js';
import { joinSmallChunks } from './smallchunks.js';
import { StalledBodies } from './stalledbodies.js';

/** Limits on the size of a request's head and on the time it may take to arrive. */
export interface HeadLimits {
  readonly maxHeaderBytes: number;
  readonly headerTimeoutMs: number;
  /** How long a connection may stay open without a request. */
  readonly idleTimeoutMs: number;
}

export const DEFAULT_HEAD_LIMITS: HeadLimits = {
  maxHeaderBytes: 16 * 1024, headerTimeoutMs: 10_000, idleTimeoutMs: 65_000,
};

/** Allowance for the request line, which Node counts towards the header size. */
const REQUEST_LINE_BYTES = 2_048;
/** Time limit for a whole request; bodies have tighter limits of their own. */
const REQUEST_TIMEOUT_MS = 300_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;

/** Applies limits to new connections, and to the idle time between requests on open ones. */
export function applyHeadLimits(server: Server, limits: HeadLimits): void {
  const { maxHeaderBytes, headerTimeoutMs, idleTimeoutMs } = limits;
  Object.assign(server, {
    // Node reads it for each new connection; the type declarations lack it.
    maxHeaderSize: maxHeaderBytes + REQUEST_LINE_BYTES,
    headersTimeout: headerTimeoutMs,
    keepAliveTimeout: idleTimeoutMs,
  });
}

/** Reports a request that Node's parser rejected in the same JSON form as other refusals. */
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
  socket.write([
    `HTTP/1.1 ${timedOut ? '408 Request Timeout' : status}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
    '',
    body,
  ].join('\r\n'));
  socket.destroySoon();
}

/** How long a server that closes waits for the rest of a head. */
const HEAD_WAIT_MS = 1_000;
/** How long the drain waits for callers to close connections that have been idle. */
const IDLE_CLOSE_MS = 1_000;

/** Why a connection is closed: there are too many, or it has too many requests sent ahead. */
export type ClosingReason = 'connections' | 'requests_ahead';

/** What a connection has been used for. */
interface ConnectionUse {
  readonly line: RequestLine;
  /** Bytes read when its last answer closed; more show that another request has begun to arrive. */
  bytesAnswered: number;
  /** The response to its latest request, while it is open. */
  latest: ServerResponse | undefined;
  /** Whether later requests were dropped, so that it closes after that response. */
  isLast: boolean;
}

/** Drops the requests that Node has read and not parsed yet, before it prepares their answers. */
function dropRequests(socket: Socket): void {
  const { parser } = socket as unknown as { readonly parser: object | null };
  if (parser) Object.assign(parser, { onIncoming: () => 0 });
  // The parser can't be taken from the connection while it calls back.
  setImmediate(() => {
    if (!socket.destroyed) discardSlowly(socket);
  });
}

/** Node's own server closes connections as idle whose answers have ended and are partly unsent. */
export class CallerServer extends Server {
  readonly #connections = new Map<Socket, ConnectionUse>();

  readonly #lingering = Lingering.of();

  readonly #firstReads = FirstReads.of();

  readonly #closings = new Subject<ClosingReason>();

  #isStopping = false;

  constructor(options: ServerOptions, listener: RequestListener) {
    super(options, listener);
    this.on('connection', (socket: Socket) => {
      this.#lingering.closeGracefully(socket);
      this.#firstReads.add(socket);
      this.#connections.set(socket, {
        line: RequestLine.of(socket), bytesAnswered: 0, latest: undefined, isLast: false,
      });
      socket.once('close', () => this.#connections.delete(socket));
    });
    this.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
      joinSmallChunks(req, () => this.#firstReads.holdBack(this.#connections.keys()));
      this.#track(res);
    });
  }

  /**
   * Bounds the connections. In place of a new one, the oldest is closed that has no request, or the
   * one that has waited for the rest of a body for the longest time.
   *
   * @param onClosed called for each connection that is closed since it exceeds a limit
   */
  limitConnections(max: number, onClosed: (reason: ClosingReason) => void): void {
    this.#closings.subscribe(onClosed);
    const stalled = StalledBodies.of();
    this.on('connection', (socket: Socket) => {
      if (this.#connections.size <= max) return;
      // In the order in which they were opened.
      const [oldest] = [...this.#connections].find(([other, { line }]) => (
        other !== socket && line.length === 0)) ?? [];
      const closed = oldest ?? stalled.take(this.#connections, performance.now()) ?? socket;
      closed.destroy();
      this.#connections.delete(closed);
      this.#closings.next('connections');
    });
  }

  /** Closes kept connections that wait for their next request; `close` calls it as well. */
  override closeIdleConnections(): void {
    this.#unanswered(({ bytesAnswered }, socket) => socket.bytesRead === bytesAnswered)
      .forEach((socket) => socket.destroySoon());
  }

  /**
   * Stops as the drain does: once it serves only open answers, the listener closes, idle
   * connections are closed, and requests that have begun to arrive are waited for. The drain is
   * not done before these connections have closed.
   */
  followDrain(drain: Drain): void {
    drain.states.pipe(filter((state) => state !== 'serving'), take(1)).subscribe(() => {
      this.#isStopping = true;
      this.#connections.forEach(({ latest }) => {
        if (latest && !latest.headersSent) latest.setHeader('Connection', 'close');
      });
    });
    drain.states.pipe(filter((state) => state === 'finishing'), take(1)).subscribe(() => {
      this.close();
      const closing = this.#unanswered(() => true);
      closing.forEach((socket) => {
        const leave = drain.enter(() => ({ stage: 'closing' }));
        socket.once('close', leave);
        const { bytesAnswered } = this.#connections.get(socket)!;
        if (socket.bytesRead === bytesAnswered) setTimeout(leave, IDLE_CLOSE_MS);
      });
      setTimeout(() => this.#unanswered((_, socket) => closing.includes(socket))
        .forEach((socket) => socket.destroySoon()), HEAD_WAIT_MS);
    });
  }

  /** Connections that were used and have no open answer. */
  #unanswered(filterUse: (use: ConnectionUse, socket: Socket) => boolean): readonly Socket[] {
    return [...this.#connections]
      .filter(([socket, use]) => (
        use.line.length === 0 && socket.bytesRead > 0 && filterUse(use, socket)))
      .map(([socket]) => socket);
  }

  /** Whether no answer can be sent on the connection after those that are open. */
  isEnding(socket: Socket): boolean {
    const { latest, isLast } = this.#connections.get(socket) ?? {};
    return socket.writableEnded || isLast === true
      || (this.#isStopping && latest?.headersSent === true && latest.hasHeader('Connection'));
  }

  #track(res: ServerResponse): void {
    const { socket } = res.req;
    const use = this.#connections.get(socket);
    if (!use || this.isEnding(socket)) return;
    const { line } = use;
    if (line.isFull) {
      use.isLast = true;
      if (use.latest && !use.latest.headersSent) use.latest.setHeader('Connection', 'close');
      dropRequests(socket);
      this.#closings.next('requests_ahead');
      return;
    }
    if (this.#isStopping) {
      // Only the last of the answers on a connection may close it.
      if (use.latest && !use.latest.headersSent) use.latest.removeHeader('Connection');
      res.setHeader('Connection', 'close');
    }
    use.latest = res;
    line.add(res);
    res.once('close', () => {
      use.bytesAnswered = socket.bytesRead;
      if (use.latest === res) use.latest = undefined;
      // Heads that were written before the stop say that the connection stays open.
      if ((this.#isStopping || use.isLast) && line.length === 0) socket.destroySoon();
    });
  }
}

/** Creates a server with the default limits, which `applyHeadLimits` changes. */
export function createCallerServer(listener: RequestListener): CallerServer {
  const server = new CallerServer({
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    noDelay: true,
  }, (req, res) => {
    // No answer could be sent on a connection that is being closed.
    if (server.isEnding(req.socket)) req.resume();
    else listener(req, res);
  });
  applyHeadLimits(server, DEFAULT_HEAD_LIMITS);
  server.on('clientError', sendParseError);
  return server;
}
