/**
 * The server for calls from other daemons: tRPC over HTTP on the peer address. It refuses calls
 * that are not signed with the peers' key, too old, or replayed. It answers a call in another
 * protocol version with this daemon's version.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { initTRPC, TRPCError } from '@trpc/server';
import { getHTTPStatusCodeFromError } from '@trpc/server/http';
import { TRPC_ERROR_CODES_BY_KEY } from '@trpc/server/rpc';
import { LRUCache } from 'lru-cache';
import { Observable } from 'rxjs';
import { z } from 'zod';
import type { Log } from '../common/log.js';
import type { Child } from '../common/supervisor.js';
import { PROTOCOL, protocolOf, requestSchema } from './message.js';
import type { PeerAnswer, PeerRequest } from './message.js';
import {
  ENCODING_HEADER, encodingOf, MAX_SKEW_MS, NONCE_HEADER, encodeBody, PEER_PATH, readBody,
  SIGNATURE_HEADER, signatureOf, TIME_HEADER, decodeBody, verifies,
} from './peerwire.js';
import type { EncodedBody, SignedFields } from './peerwire.js';

const MAX_NONCES = 65_536;
const MAX_HEADER_BYTES = 8_192;
const REQUEST_TIMEOUT_MS = 5_000;
/** One or two of each of several hundred instances. */
const MAX_CONNECTIONS = 1_024;
const KEEP_ALIVE_MS = 30_000;
const REFUSAL_LOG_PERIOD_MS = 1_000;
const HTTP_OK = 200;
const HTTP_REFUSED = 403;

/** Handles one kind of call; it validates the body and throws if that is invalid. */
export type CallHandler = (body: unknown) => Promise<unknown>;

/** Handlers for the calls of peers; calls without a handler are answered with NOT_FOUND. */
export interface PeerHandlers {
  readonly heartbeat: (request: PeerRequest) => Promise<PeerAnswer>;
  /** Commits a claim for another instance. */
  readonly claim?: CallHandler;
  /** Returns the configuration that this instance holds. */
  readonly configuration?: CallHandler;
  /** Returns the decisions recorded for a request. */
  readonly why?: CallHandler;
}

export interface PeerServerOptions {
  readonly host: string;
  /** 0 selects any free port. */
  readonly port: number;
  readonly key: string;
  readonly handlers: PeerHandlers;
  readonly log: Log;
  /** Wall-clock time in milliseconds, for the age of a signature. */
  readonly wallClock: () => number;
  readonly onListening?: (port: number) => void;
}

const t = initTRPC.create();

const callSchema = z.object({ protocol: z.number().int(), body: z.unknown() });

const unsupported = { kind: 'unsupported' as const, protocol: PROTOCOL };

export type CallAnswer = typeof unsupported
  | { readonly kind: 'answer'; readonly protocol: number; readonly body: unknown };

function callProcedure(handler: CallHandler | undefined) {
  return t.procedure.input(z.unknown()).mutation(async ({ input }): Promise<CallAnswer> => {
    if (protocolOf(input) !== PROTOCOL) return unsupported;
    if (!handler) throw new TRPCError({ code: 'NOT_FOUND' });
    const { body } = callSchema.parse(input);
    return { kind: 'answer', protocol: PROTOCOL, body: await handler(body) };
  });
}

function routerOf(handlers: PeerHandlers) {
  return t.router({
    heartbeat: t.procedure.input(z.unknown()).mutation(async ({ input }): Promise<PeerAnswer> => {
      if (protocolOf(input) !== PROTOCOL) return unsupported;
      return handlers.heartbeat(requestSchema.parse(input));
    }),
    claim: callProcedure(handlers.claim),
    configuration: callProcedure(handlers.configuration),
    why: callProcedure(handlers.why),
  });
}

export type PeerRouter = ReturnType<typeof routerOf>;

const METHODS = ['heartbeat', 'claim', 'configuration', 'why'] as const;

function isMethod(name: string): name is typeof METHODS[number] {
  return METHODS.some((method) => method === name);
}

interface Outcome { readonly status: number; readonly text: string }

/** Why a call was refused without running its handler. */
type RefusalReason = 'too_large' | 'unsigned' | 'signature' | 'stale' | 'replayed';

interface Call {
  readonly signed: SignedFields;
  readonly body: EncodedBody;
  readonly signature: string;
}

function headerOf(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

export class PeerServer implements Child {
  readonly name = 'peer_server';

  readonly run: Observable<never>;

  readonly #options: PeerServerOptions;

  readonly #caller: ReturnType<PeerRouter['createCaller']>;

  readonly #nonces = new LRUCache<string, true>({ max: MAX_NONCES });

  #refusalLoggedAt = -Infinity;

  private constructor(options: PeerServerOptions) {
    this.#options = options;
    // Bypasses tRPC's HTTP adapters, which cost several times as much as the call itself.
    this.#caller = routerOf(options.handlers).createCaller({});
    this.run = new Observable<never>((subscriber) => {
      const server = this.#listen((error) => subscriber.error(error));
      return () => {
        server.close();
        server.closeIdleConnections();
      };
    });
  }

  static of(options: PeerServerOptions): PeerServer {
    return new PeerServer(options);
  }

  #listen(onError: (error: Error) => void): Server {
    const { host, port, onListening } = this.#options;
    const server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MS,
      headersTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
    }, (request, response) => {
      this.#serve(request, response).catch((error: unknown) => {
        this.#options.log.event('warn', 'peer_call_failed', { reason: String(error) });
        response.destroy();
      });
    });
    server.maxConnections = MAX_CONNECTIONS;
    server.on('error', onError);
    server.listen(port, host, () => {
      const address = server.address();
      if (typeof address === 'object' && address) onListening?.(address.port);
    });
    return server;
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const from = request.socket.remoteAddress;
    const bytes = await readBody(request).catch((error: unknown) => {
      if (error instanceof RangeError) return undefined;
      throw error;
    });
    if (!bytes) {
      this.#refuse(from, response, 'too_large');
      return;
    }
    const call: Call = {
      signed: {
        direction: 'request',
        subject: request.url ?? '',
        time: headerOf(request, TIME_HEADER),
        nonce: headerOf(request, NONCE_HEADER),
      },
      body: {
        encoding: encodingOf(request.headers[ENCODING_HEADER]),
        bytes,
      },
      signature: headerOf(request, SIGNATURE_HEADER),
    };
    const reason = this.#refusalReason(call);
    if (reason) {
      this.#refuse(from, response, reason);
      return;
    }
    this.#nonces.set(call.signed.nonce, true);
    await this.#answer(call, response);
  }

  #refusalReason({ signed, body, signature }: Call): RefusalReason | undefined {
    if (!signed.time || !signed.nonce || !signature) return 'unsigned';
    if (!verifies(signed, body, this.#options.key, signature)) return 'signature';
    const age = Math.abs(this.#options.wallClock() - Number(signed.time));
    if (!(age <= MAX_SKEW_MS)) return 'stale';
    return this.#nonces.has(signed.nonce) ? 'replayed' : undefined;
  }

  #refuse(from: string | undefined, response: ServerResponse, reason: RefusalReason): void {
    const now = this.#options.wallClock();
    // Rate-limited, so that unauthenticated callers can't flood the log.
    if (now - this.#refusalLoggedAt >= REFUSAL_LOG_PERIOD_MS) {
      this.#refusalLoggedAt = now;
      this.#options.log.event('warn', 'peer_refused', { from, reason });
    }
    response.writeHead(HTTP_REFUSED, { connection: 'close' });
    response.end(reason);
  }

  async #answer(call: Call, response: ServerResponse): Promise<void> {
    const { status, text } = await this.#run(call);
    const body = encodeBody(text);
    const signed: SignedFields = { ...call.signed, direction: 'answer', subject: String(status) };
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': body.bytes.length,
      [ENCODING_HEADER]: body.encoding,
      [SIGNATURE_HEADER]: signatureOf(signed, body, this.#options.key),
    });
    response.end(body.bytes);
  }

  /** Runs the procedure named by the path, and encodes its result or error as tRPC does. */
  async #run({ signed, body }: Call): Promise<Outcome> {
    const name = signed.subject.slice(PEER_PATH.length + 1);
    try {
      if (!isMethod(name)) throw new TRPCError({ code: 'NOT_FOUND' });
      const data = await this.#caller[name](JSON.parse(decodeBody(body)));
      return { status: HTTP_OK, text: JSON.stringify({ result: { data } }) };
    } catch (thrown) {
      const error = thrown instanceof TRPCError
        ? thrown
        : new TRPCError({ code: 'BAD_REQUEST', cause: thrown });
      this.#options.log.event('warn', 'peer_call_failed', { call: name, reason: error.code });
      const shape = {
        message: error.code, code: TRPC_ERROR_CODES_BY_KEY[error.code], data: { code: error.code },
      };
      return {
        status: getHTTPStatusCodeFromError(error), text: JSON.stringify({ error: shape }),
      };
    }
  }
}
