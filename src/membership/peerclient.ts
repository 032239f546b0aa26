/**
 * The client for calls to other daemons: tRPC over signed HTTP, with a deadline for each call. See
 * `peerwire` for what the signatures cover.
 */
import { Agent, request as startRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { createTRPCClient, httpLink } from '@trpc/client';
import type { HTTPLinkOptions, TRPCClient } from '@trpc/client';
import { LRUCache } from 'lru-cache';
import type { SchedulerLike } from 'rxjs';
import type { Random } from '../common/random.js';
import type { PeerRouter } from './peerserver.js';
import type { PeerMethod, PeerNetwork } from './instances.js';
import { PROTOCOL } from './message.js';
import {
  ENCODING_HEADER, encodingOf, NONCE_HEADER, encodeBody, PEER_PATH, readBody, SIGNATURE_HEADER,
  signatureOf, TIME_HEADER, decodeBody, verifies,
} from './peerwire.js';
import type { EncodedBody, SignedFields } from './peerwire.js';

/** Size of the client cache; a daemon mostly calls its few neighbours. */
const MAX_CLIENTS = 64;
const MAX_FREE_SOCKETS = 2;
const HTTP_OK = 200;
const HTTP_ERROR_MIN = 400;

export interface PeerClientOptions {
  readonly key: string;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  /** Wall-clock time in milliseconds, for the timestamp of a signature. */
  readonly wallClock: () => number;
}

type Fetch = NonNullable<HTTPLinkOptions<PeerRouter['_def']['_config']['$types']>['fetch']>;
type FetchAnswer = Awaited<ReturnType<Fetch>>;

interface Outgoing {
  readonly url: URL;
  readonly signed: SignedFields;
  readonly body: EncodedBody;
  readonly signal: AbortSignal | undefined;
}

function responseOf(status: number, text: string): FetchAnswer {
  const ok = status >= HTTP_OK && status < HTTP_ERROR_MIN;
  const response = {
    ok, status, json: async () => JSON.parse(text) as unknown, text: async () => text,
  };
  return response;
}

/** Sends the request and resolves once the headers of the answer have arrived. */
function send(outgoing: Outgoing, key: string, agent: Agent): Promise<IncomingMessage> {
  const { signed, body, signal } = outgoing;
  return new Promise((resolve, reject) => {
    const request = startRequest(outgoing.url, {
      method: 'POST',
      agent,
      signal,
      headers: {
        'content-length': body.bytes.length,
        [TIME_HEADER]: signed.time,
        [NONCE_HEADER]: signed.nonce,
        [ENCODING_HEADER]: body.encoding,
        [SIGNATURE_HEADER]: signatureOf(signed, body, key),
      },
    }, resolve);
    request.on('error', reject);
    request.end(body.bytes);
  });
}

async function readVerified(
  message: IncomingMessage,
  signed: SignedFields,
  key: string,
): Promise<string> {
  const body: EncodedBody = {
    encoding: encodingOf(message.headers[ENCODING_HEADER]),
    bytes: await readBody(message),
  };
  const signature = String(message.headers[SIGNATURE_HEADER] ?? '');
  const subject = String(message.statusCode);
  if (!verifies({ ...signed, direction: 'answer', subject }, body, key, signature)) {
    throw new Error(`answer with status ${subject} is not signed with the peers' key`);
  }
  return decodeBody(body);
}

export class PeerClient implements PeerNetwork {
  readonly #options: PeerClientOptions;

  readonly #agent = new Agent({ keepAlive: true, maxFreeSockets: MAX_FREE_SOCKETS });

  readonly #clients = new LRUCache<string, TRPCClient<PeerRouter>>({ max: MAX_CLIENTS });

  private constructor(options: PeerClientOptions) {
    this.#options = options;
  }

  static of(options: PeerClientOptions): PeerClient {
    return new PeerClient(options);
  }

  async exchange(address: string, message: unknown, deadlineMs: number): Promise<unknown> {
    return this.#within(deadlineMs, (signal) => (
      this.#client(address).heartbeat.mutate(message, { signal })
    ));
  }

  async call(
    method: PeerMethod,
    address: string,
    body: unknown,
    deadlineMs: number,
  ): Promise<unknown> {
    const answer = await this.#within(deadlineMs, (signal) => (
      this.#client(address)[method].mutate({ protocol: PROTOCOL, body }, { signal })
    ));
    if (answer.kind === 'unsupported') {
      throw new Error(`peer uses protocol version ${answer.protocol}, expected ${PROTOCOL}`);
    }
    return answer.body;
  }

  /** Closes the connections. */
  close(): void {
    this.#agent.destroy();
  }

  async #within<Value>(
    deadlineMs: number,
    run: (signal: AbortSignal) => Promise<Value>,
  ): Promise<Value> {
    const controller = new AbortController();
    const deadline = this.#options.scheduler.schedule(() => controller.abort(), deadlineMs);
    try {
      return await run(controller.signal);
    } finally {
      deadline.unsubscribe();
    }
  }

  #client(address: string): TRPCClient<PeerRouter> {
    const known = this.#clients.get(address);
    if (known) return known;
    const client = createTRPCClient<PeerRouter>({
      links: [httpLink({ url: `http://${address}${PEER_PATH}`, fetch: this.#fetch })],
    });
    this.#clients.set(address, client);
    return client;
  }

  readonly #fetch: Fetch = async (input, options) => {
    const { key, random, wallClock } = this.#options;
    const url = new URL(String(input));
    const signed: SignedFields = {
      direction: 'request',
      subject: url.pathname + url.search,
      time: String(Math.round(wallClock())),
      nonce: random.identifier(),
    };
    const body = encodeBody(String(options?.body ?? ''));
    const signal = options?.signal ?? undefined;
    const answer = await send({
      url, signed, body, signal,
    }, key, this.#agent);
    return responseOf(answer.statusCode ?? 0, await readVerified(answer, signed, key));
  };
}
