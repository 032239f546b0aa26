/** Sends one call to one backend server and its answer back to the caller. */
import { request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import { Subscription, timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import { parseHostPort } from '../common/address.js';
import { isFramed, watchUnframed } from './unframed.js';

const HOP_BY_HOP: readonly string[] = [
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te',
  'trailer', 'transfer-encoding', 'upgrade',
];
/** The workspace's key is not the service's to know; it is told the workspace's name. */
const OWN_HEADERS: readonly string[] = ['authorization', 'host', 'expect', 'x-workspace'];

/**
 * `failed` is only reported while nothing has been sent to the caller. An answer that was not
 * `whole` broke off, for the caller too.
 */
export type Forwarded =
  | { readonly kind: 'answered'; readonly whole: boolean }
  | { readonly kind: 'failed'; readonly ran: 'no' | 'unknown'; readonly message: string };

export interface Forwarding {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** `host:port`, by IP. */
  readonly address: string;
  /** Path and query. */
  readonly target: string;
  readonly workspace: string;
  /** Time for the answer to begin, and for each pause in it. */
  readonly timeoutMs: number;
  /** The body, if it was read; otherwise the request's stream is sent on. */
  readonly body: Buffer | undefined;
}

/** Raw headers without those that end at this hop, as alternating names and values. */
export function endToEnd(raw: readonly string[], without: readonly string[] = []): string[] {
  const pairs = raw.flatMap((name, index) => (
    index % 2 === 0 ? [{ name, value: raw[index + 1] ?? '' }] : []));
  const named = pairs.filter(({ name }) => name.toLowerCase() === 'connection')
    .flatMap(({ value }) => value.split(',').map((item) => item.trim().toLowerCase()));
  const dropped = new Set([...HOP_BY_HOP, ...named, ...without]);
  return pairs.filter(({ name }) => !dropped.has(name.toLowerCase()))
    .flatMap(({ name, value }) => [name, value]);
}

function requestHeaders({
  req, address, workspace, body,
}: Forwarding): string[] {
  const own = body === undefined ? OWN_HEADERS : [...OWN_HEADERS, 'content-length'];
  const headers = [
    ...endToEnd(req.rawHeaders, own), 'Host', address, 'X-Workspace', workspace,
  ];
  if (body !== undefined && body.length > 0) headers.push('Content-Length', String(body.length));
  const streamed = body === undefined && req.headers['transfer-encoding'] !== undefined;
  return streamed ? [...headers, 'Transfer-Encoding', 'chunked'] : headers;
}

function sendBody({ req, body }: Forwarding, upstream: ClientRequest): void {
  if (body !== undefined) upstream.end(body);
  // The caller's body is touched only once the server is reached, so that a refused connect may
  // go elsewhere with all of it.
  else req.pipe(upstream);
}

export function forward(
  forwarding: Forwarding,
  scheduler: SchedulerLike,
): Promise<Forwarded> {
  const {
    req, res, address, target, timeoutMs,
  } = forwarding;
  return new Promise((resolve) => {
    let connected = false;
    let answering = false;
    let timeout = Subscription.EMPTY;
    const upstream = httpRequest({
      ...parseHostPort(address),
      method: req.method,
      path: target,
      headers: requestHeaders(forwarding) as unknown as Record<string, string>,
      // A fresh connection: a reset on a reused one would not tell whether the call ran.
      agent: false,
      setHost: false,
    });
    let forget = () => {};
    const settle = (outcome: Forwarded) => {
      timeout.unsubscribe();
      forget();
      req.unpipe(upstream);
      resolve(outcome);
    };
    const fail = (message: string) => {
      upstream.destroy();
      // Once the answer has begun, its own end decides.
      if (answering) return;
      settle({ kind: 'failed', ran: connected ? 'unknown' : 'no', message });
    };
    timeout = timer(timeoutMs, scheduler).subscribe(() => fail(`no answer in ${timeoutMs} ms`));
    const left = () => fail('the caller left');
    res.once('close', left);
    forget = () => res.off('close', left);
    upstream.on('socket', (socket) => socket.once('connect', () => {
      connected = true;
      sendBody(forwarding, upstream);
    }));
    upstream.on('error', (error) => fail(error.message));
    upstream.on('response', (answer) => {
      answering = true;
      timeout.unsubscribe();
      answer.setTimeout(timeoutMs, () => answer.destroy(new Error('the service fell silent')));
      const headers = endToEnd(answer.rawHeaders);
      res.writeHead(answer.statusCode ?? 502, answer.statusMessage, headers);
      const broken = isFramed(answer, req.method ?? '') ? () => undefined : watchUnframed(answer);
      // An answer that breaks off is broken off for the caller too, and never looks whole.
      pipeline(answer, res, { end: false }).then(() => broken() === undefined, () => false)
        .then((whole) => {
          if (whole) res.end();
          else res.destroy();
          settle({ kind: 'answered', whole });
        }, fail);
    });
    upstream.flushHeaders();
  });
}
