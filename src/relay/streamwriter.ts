/** Writes a relayed stream to its caller: one head, then the events of all attempts, and an end. */
import { endToEnd } from '../entry/upstream.js';
import type { Refusal } from '../common/refusal.js';
import type { BufferedResponse, ResponseHead } from './call.js';
import type { Caller } from './context.js';

/** The attempt that a part of the response comes from. */
export interface Source {
  readonly head: ResponseHead | undefined;
  /** The whole answer, if it is no stream. */
  readonly answer: BufferedResponse | undefined;
}

export class StreamWriter {
  readonly #caller: Caller;

  #headSent = false;

  private constructor(caller: Caller) {
    this.#caller = caller;
  }

  static of(caller: Caller): StreamWriter {
    return new StreamWriter(caller);
  }

  get headSent(): boolean {
    return this.#headSent;
  }

  /** Called before the request is sent to a server. */
  sending(server: string): void {
    this.#caller.sending(server);
  }

  write(text: string, source: Source | undefined): void {
    this.#writeHead(source);
    this.#caller.write(Buffer.from(text, 'latin1'));
  }

  finish(source: Source | undefined): void {
    if (source?.answer) {
      this.#caller.respond(source.answer);
      return;
    }
    this.#writeHead(source);
    this.#caller.end();
  }

  refuse(refusal: Refusal): void {
    if (this.#headSent) this.#caller.abort();
    else this.#caller.refuse(refusal);
  }

  /** Sends the head of the first attempt that yields an event; later ones continue its response. */
  #writeHead(source: Source | undefined): void {
    if (this.#headSent) return;
    this.#headSent = true;
    const head = source?.head;
    if (head) this.#caller.begin({ ...head, headers: endToEnd(head.headers, ['content-length']) });
  }
}
