/**
 * HTTP calls to a store. A call without an answer reports whether any of its bytes may have been
 * sent, because only then can it have had an effect.
 */
import { Agent, request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import { parseHostPort } from '../common/address.js';
import type { HostPort } from '../common/address.js';
import { readPieces } from '../common/pieces.js';

export const MAX_ANSWER_CHARS = 16_777_216;
const MAX_SOCKETS = 16;

export type Headers = Readonly<Record<string, string>>;

export interface Call {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers: Headers;
  readonly body?: string;
}

export interface Answer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

/** A call without a complete answer; `sent` tells whether any of its bytes may have been sent. */
export interface Failure { readonly sent: boolean; readonly message: string }

/** Parses JSON; returns undefined for invalid text. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** Calls `onSent` once the socket is connected, when bytes of the request may be sent. */
function trackSending(request: ClientRequest, onSent: () => void): void {
  request.once('socket', (socket) => {
    if (socket.connecting) socket.once('connect', onSent);
    else onSent();
  });
}

/** Reads the complete answer; rejects if it ends early or is too long. */
export function collect(response: IncomingMessage): Promise<Answer> {
  return new Promise((resolve, reject) => {
    let text = '';
    response.setEncoding('utf8');
    readPieces<string>(response, (chunk) => {
      text += chunk;
      if (text.length > MAX_ANSWER_CHARS) reject(new Error('answer exceeds the size limit'));
    });
    response.once('end', () => resolve({
      status: response.statusCode ?? 0, headers: response.headers, text,
    }));
    response.once('error', reject);
    response.once('close', () => reject(new Error('answer is incomplete')));
  });
}

export class StoreCalls {
  readonly #address: HostPort;

  readonly #scheduler: SchedulerLike;

  readonly #agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS });

  readonly #ownAgent = new Agent({ keepAlive: false });

  private constructor(address: string, scheduler: SchedulerLike) {
    this.#address = parseHostPort(address);
    this.#scheduler = scheduler;
  }

  /** @param address `host:port` of the store; the host is an IP address */
  static of(address: string, scheduler: SchedulerLike): StoreCalls {
    return new StoreCalls(address, scheduler);
  }

  /** Closes the connections. */
  close(): void {
    this.#agent.destroy();
    this.#ownAgent.destroy();
  }

  /** Opens a request on its own connection, for streamed answers; the caller must end it. */
  open(call: Call): ClientRequest {
    return this.#request(call, this.#ownAgent);
  }

  /**
   * @param deadlineMs limit on the time from sending the call to the end of its answer
   * @param connection `own` avoids kept connections, which may have gone silent
   */
  send(
    call: Call,
    deadlineMs: number,
    connection: 'kept' | 'own' = 'kept',
  ): Promise<Result<Answer, Failure>> {
    return new Promise((resolve) => {
      let sent = false;
      const request = this.#request(call, connection === 'kept' ? this.#agent : this.#ownAgent);
      const fail = (message: string) => resolve(err({ sent, message }));
      const deadline = timer(deadlineMs, this.#scheduler).subscribe(() => {
        fail(`no answer within ${deadlineMs} ms`);
        request.destroy();
      });
      trackSending(request, () => {
        sent = true;
      });
      request.once('error', (error) => fail(error.message));
      request.once('close', () => deadline.unsubscribe());
      request.once('response', (response) => {
        collect(response).then(
          (answer) => resolve(ok(answer)),
          (error: unknown) => {
            fail(String(error));
            request.destroy();
          },
        );
      });
      request.end(call.body);
    });
  }

  #request({
    method, path, headers, body,
  }: Call, agent: Agent): ClientRequest {
    const length = body === undefined ? {} : { 'content-length': String(Buffer.byteLength(body)) };
    return httpRequest({
      ...this.#address, method, path, headers: { ...headers, ...length }, agent,
    });
  }
}
