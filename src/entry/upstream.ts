/** Forwards a call to a backend server, and its response to the caller. */
import type { ClientRequest, IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import { Subscription, timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import { parseHostPort } from '../common/address.js';
import { openRequest } from '../common/outgoing.js';
import { piecesOf } from '../common/pieces.js';
import { promisesNotRun } from '../common/refusal.js';
import { breakOff, isSelfDelimited, watchCloseDelimited } from './closedelimited.js';
import { headFault } from './responsehead.js';

const HOP_BY_HOP: readonly string[] = [
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te',
  'trailer', 'transfer-encoding', 'upgrade',
];
/** Not forwarded. Services get the workspace's name in place of its key, which is secret. */
const REPLACED_HEADERS: readonly string[] = ['authorization', 'host', 'expect', 'x-workspace'];

/** Services' responses are passed on as they are; no field of them but HTTP's own is read. */
const NO_FIELDS: ReadonlySet<string> = new Set();

/**
 * `failed` is reported only if nothing was sent to the caller. A response that is not `whole` was
 * cut off, for the caller too.
 */
export type ForwardResult =
  | { readonly kind: 'answered'; readonly whole: boolean }
  | { readonly kind: 'failed'; readonly ran: 'no' | 'unknown'; readonly message: string };

export interface ForwardRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** `host:port`, where the host is an IP address. */
  readonly address: string;
  /** Path and query. */
  readonly target: string;
  readonly workspace: string;
  /** Time limit for the response to begin, and for each pause in it. */
  readonly timeoutMs: number;
  /** The body if it was read; otherwise the request's stream is forwarded. */
  readonly body: Buffer | undefined;
  /** Told of the body as it is forwarded, if it was not read before. */
  readonly onBody?: { chunk(bytes: Buffer): void; end(): void };
}

/** Raw headers without hop-by-hop ones and `exclude`, as alternating names and values. */
export function endToEnd(
  rawHeaders: readonly string[],
  exclude: readonly string[] = [],
): string[] {
  const pairs = rawHeaders.flatMap((name, index) => (
    index % 2 === 0 ? [{ name, value: rawHeaders[index + 1] ?? '' }] : []));
  const connectionOptions = pairs.filter(({ name }) => name.toLowerCase() === 'connection')
    .flatMap(({ value }) => value.split(',').map((item) => item.trim().toLowerCase()));
  const removed = new Set([...HOP_BY_HOP, ...connectionOptions, ...exclude]);
  return pairs.filter(({ name }) => !removed.has(name.toLowerCase()))
    .flatMap(({ name, value }) => [name, value]);
}

function requestHeaders({
  req, address, workspace, body,
}: ForwardRequest): string[] {
  const replaced = body === undefined ? REPLACED_HEADERS : [...REPLACED_HEADERS, 'content-length'];
  const headers = [
    ...endToEnd(req.rawHeaders, replaced), 'Host', address, 'X-Workspace', workspace,
  ];
  if (body !== undefined && body.length > 0) headers.push('Content-Length', String(body.length));
  const chunked = body === undefined && req.headers['transfer-encoding'] !== undefined;
  return chunked ? [...headers, 'Transfer-Encoding', 'chunked'] : headers;
}

function sendBody({ req, body, onBody }: ForwardRequest, upstream: ClientRequest): void {
  if (body !== undefined) {
    upstream.end(body);
    return;
  }
  // The caller's body is not read before the connection is established, so that after a refused
  // connection all of it can go to another server.
  if (onBody) {
    req.on('data', (bytes: Buffer) => onBody.chunk(bytes));
    req.once('end', () => onBody.end());
  }
  req.pipe(upstream);
}

export function forward(
  request: ForwardRequest,
  scheduler: SchedulerLike,
): Promise<ForwardResult> {
  const {
    req, res, address, target, timeoutMs,
  } = request;
  return new Promise((resolve) => {
    let connected = false;
    let responseStarted = false;
    let timeout = Subscription.EMPTY;
    const opened = openRequest({
      ...parseHostPort(address),
      method: req.method,
      path: target,
      headers: requestHeaders(request),
      // A new connection, since a reset on a reused one does not show whether the call ran.
      agent: false,
      setHost: false,
    });
    if (opened.isErr()) {
      resolve({ kind: 'failed', ran: 'no', message: opened.error.message });
      return;
    }
    const upstream = opened.value;
    let removeCloseListener = () => {};
    const settle = (outcome: ForwardResult) => {
      timeout.unsubscribe();
      removeCloseListener();
      req.unpipe(upstream);
      resolve(outcome);
    };
    const fail = (message: string) => {
      upstream.destroy();
      // Once the response has begun, its end determines the outcome.
      if (responseStarted) return;
      settle({ kind: 'failed', ran: connected ? 'unknown' : 'no', message });
    };
    timeout = timer(timeoutMs, scheduler)
      .subscribe(() => fail(`no response within ${timeoutMs} ms`));
    const onCallerGone = () => fail('the caller disconnected');
    res.once('close', onCallerGone);
    removeCloseListener = () => res.off('close', onCallerGone);
    upstream.on('socket', (socket) => socket.once('connect', () => {
      connected = true;
      sendBody(request, upstream);
    }));
    upstream.on('error', (error) => {
      // Destroying the request would discard what is unread of a response that is complete.
      if (!responseStarted) fail(error.message);
    });
    upstream.on('response', (response) => {
      const { statusCode = 0 } = response;
      const fault = headFault(response, NO_FIELDS)
        ?? (promisesNotRun(statusCode) ? `it answered ${statusCode}` : undefined);
      if (fault !== undefined || res.headersSent) {
        fail(fault ?? 'the call was refused meanwhile');
        return;
      }
      responseStarted = true;
      timeout.unsubscribe();
      response.setTimeout(timeoutMs, () => response.destroy(new Error('the response stalled')));
      const headers = endToEnd(response.rawHeaders);
      res.writeHead(response.statusCode ?? 502, response.statusMessage, headers);
      const connectionError = isSelfDelimited(response, req.method ?? '')
        ? () => undefined : watchCloseDelimited(response);
      // A response that is cut off is cut off for the caller too, so that it never looks complete.
      pipeline(piecesOf(response), res, { end: false })
        .then(() => connectionError() === undefined, () => false)
        .then((whole) => {
          if (whole) res.end();
          else breakOff(res);
          settle({ kind: 'answered', whole });
        }, fail);
    });
    upstream.flushHeaders();
  });
}
