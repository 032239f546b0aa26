/**
 * Writes the answer to one call. Whatever is thrown on the way, here or in a step of the relay,
 * ends the answer once and visibly: with a refusal as long as no head was sent, else by breaking it
 * off. Node.js begins an answer with a 200 of its own if a body is written without a head, so none
 * is.
 */
import type { ServerResponse } from 'node:http';
import type { Log } from '../common/log.js';
import type { Refusal } from '../common/refusal.js';
import { breakOff } from '../entry/closedelimited.js';
import type { BufferedResponse, ResponseHead } from './call.js';
import type { Caller } from './context.js';

export interface CallerAnswerOptions {
  readonly request: string;
  readonly log: Log;
  /** Headers that are added to the response of a server. */
  readonly ownHeaders: readonly string[];
  readonly onSending: (server: string) => void;
  /** Called when a part of a streamed answer is written. */
  readonly onEvent?: () => void;
  readonly sendRefusal: (refusal: Refusal) => void;
  /** Called after each write. */
  readonly onWritten?: () => void;
}

/** The request may have reached a server. */
const INTERNAL_ERROR: Refusal = {
  code: 'backend_failed', message: 'internal error', ran: 'unknown',
};

/** Keeps what says that the connection closes. */
const KEPT_HEADER = 'connection';

export class CallerAnswer implements Caller {
  readonly #res: ServerResponse;

  readonly #options: CallerAnswerOptions;

  #hasFailed = false;

  #onFailed: (() => void) | undefined;

  private constructor(res: ServerResponse, options: CallerAnswerOptions) {
    this.#res = res;
    this.#options = options;
  }

  static of(res: ServerResponse, options: CallerAnswerOptions): CallerAnswer {
    return new CallerAnswer(res, options);
  }

  /** Calls `listener` once an error has ended the answer, at once if one has. */
  whenFailed(listener: () => void): void {
    if (this.#hasFailed) listener();
    else this.#onFailed = listener;
  }

  sending(server: string): void {
    this.#options.onSending(server);
  }

  respond({ status, headers, body }: BufferedResponse): void {
    this.#write((res) => {
      this.#writeHead({ status, headers });
      body.slice(0, -1).forEach((chunk) => res.write(chunk));
      res.end(body.at(-1));
    });
  }

  refuse(refusal: Refusal): void {
    this.#write(() => this.#options.sendRefusal(refusal));
  }

  begin(head: ResponseHead): void {
    this.#write(() => this.#writeHead(head));
  }

  write(bytes: Buffer): void {
    this.#write((res) => {
      this.#requireHead();
      res.write(bytes);
      this.#options.onEvent?.();
    });
  }

  end(): void {
    this.#write((res) => {
      this.#requireHead();
      res.end();
    });
  }

  abort(): void {
    this.#write((res) => breakOff(res));
  }

  fail(error: unknown): void {
    if (this.#hasFailed) return;
    this.#hasFailed = true;
    const { log, request, sendRefusal } = this.#options;
    const res = this.#res;
    log.event('error', 'answer_failed', {
      request,
      reason: error instanceof Error ? error.stack ?? error.message : String(error),
      head_sent: res.headersSent,
    });
    try {
      // Some of the server's head may have been taken over.
      if (!res.headersSent) {
        res.getHeaderNames().filter((name) => name !== KEPT_HEADER)
          .forEach((name) => res.removeHeader(name));
      }
      if (!res.writableEnded) sendRefusal(INTERNAL_ERROR);
    } catch {
      breakOff(res);
    }
    this.#onFailed?.();
  }

  #write(step: (res: ServerResponse) => void): void {
    if (this.#hasFailed) return;
    try {
      step(this.#res);
      this.#options.onWritten?.();
    } catch (error) {
      this.fail(error);
    }
  }

  #writeHead({ status, headers }: ResponseHead): void {
    this.#res.writeHead(status, [...headers, ...this.#options.ownHeaders]);
  }

  #requireHead(): void {
    if (!this.#res.headersSent) throw new Error('a body has no head');
  }
}
