/**
 * Writes answers to callers. A streamed answer holds little more than `callerBufferBytes` for a
 * caller that reads slowly: past that the engine's stream is not read on, and a caller that does
 * not read for `callerStallMs` has its answer ended.
 */
import type { ServerResponse } from 'node:http';
import { BehaviorSubject, Subscription } from 'rxjs';
import type { Observable } from 'rxjs';
import type { Batcher } from '../common/batcher.js';
import { bodyOf } from '../common/refusal.js';
import type { Refusal } from '../common/refusal.js';
import type { Limits } from '../configuration/configuration.js';
import type { AnswerEvent, AnswerFinish } from '../generation/request.js';
import { sendRefusal, whenClosed } from './body.js';
import { ChunkSerializer, completionJson } from './completionjson.js';
import type { CompletionMetadata } from './completionjson.js';

export const CURSOR_HEADER = 'x-generation-cursor';
const GENERATION_HEADER = 'x-generation-id';

export interface AnswerContext {
  readonly metadata: CompletionMetadata;
  /** Tokens that a returning caller has already. */
  readonly from: number;
  readonly limits: Limits;
  /** Gathers the writes of all answers, which are most of the cost of a token. */
  readonly writes: Batcher;
}

function mismatch(message: string): Refusal {
  return { code: 'interrupted', message, ran: 'partly' };
}

export class AnswerStream {
  /** True while the caller does not read. */
  readonly held = new BehaviorSubject(false);

  readonly #res: ServerResponse;

  readonly #context: AnswerContext;

  readonly #json: ChunkSerializer;

  #tokens: number;

  #pending = '';

  #cursor: string | undefined;

  #generation: string;

  #answer = Subscription.EMPTY;

  readonly #flushPending = () => this.#flush();

  private constructor(res: ServerResponse, context: AnswerContext) {
    this.#res = res;
    this.#context = context;
    this.#json = ChunkSerializer.of(context.metadata);
    this.#tokens = context.from;
    this.#generation = context.metadata.id;
  }

  static of(res: ServerResponse, context: AnswerContext): AnswerStream {
    return new AnswerStream(res, context);
  }

  /** Names the attempt that the answer now comes from to the caller. */
  cursor(cursor: string, generation: string): void {
    this.#cursor = cursor;
    this.#generation = generation;
    // A comment: readers of server-sent events that don't know it pass over it.
    if (this.#res.headersSent) this.#write(`: ${CURSOR_HEADER} ${cursor}\n\n`);
  }

  /** Writes the answer until it ends or the caller goes. */
  send(answer: Observable<AnswerEvent>): void {
    this.#answer = answer.subscribe((event) => this.#take(event));
    this.#res.on('timeout', () => this.#giveUp());
    whenClosed(this.#res, () => this.#answer.unsubscribe());
  }

  #take(event: AnswerEvent): void {
    switch (event.kind) {
      case 'token':
        if (event.position !== this.#tokens) {
          this.#refuse(mismatch(`token ${event.position} came in place of ${this.#tokens}`));
          return;
        }
        this.#tokens += 1;
        this.#event(event.position, this.#json.token(event.text));
        break;
      case 'finish':
        this.#finish(event);
        break;
      case 'refusal':
        this.#refuse(event.refusal);
        break;
    }
  }

  /** Ends the answer as whole only when its length is what the ledger counted. */
  #finish(finish: AnswerFinish): void {
    if (finish.tokens !== this.#tokens) {
      this.#refuse(mismatch(`${this.#tokens} tokens of ${finish.tokens} were sent`));
      return;
    }
    this.#event(finish.tokens - 1, this.#json.finish(finish.reason));
    if (this.#context.metadata.includeUsage) this.#write(`data: ${this.#json.usage(finish)}\n\n`);
    this.#write('data: [DONE]\n\n');
    this.#end();
  }

  #refuse(refusal: Refusal): void {
    this.#answer.unsubscribe();
    if (this.#res.headersSent || this.#pending !== '') {
      this.#write(`event: error\ndata: ${bodyOf(refusal)}\n\n`);
      this.#end();
    } else {
      sendRefusal(this.#res, refusal);
    }
  }

  #end(): void {
    const res = this.#res;
    this.#flush();
    res.end();
    res.setTimeout(this.#context.limits.callerStallMs);
  }

  /** @param position the last token that the caller then has */
  #event(position: number, json: string): void {
    this.#write(`id: ${this.#generation}.${position}\ndata: ${json}\n\n`);
  }

  #write(text: string): void {
    if (this.#pending === '') {
      // A first token is not made to wait.
      const { writes } = this.#context;
      if (this.#res.headersSent && writes.shouldDefer()) writes.defer(this.#flushPending);
      else queueMicrotask(this.#flushPending);
    }
    this.#pending += text;
  }

  #flush(): void {
    const res = this.#res;
    if (this.#pending === '' || res.destroyed) return;
    if (!res.headersSent) this.#writeHead();
    const text = this.#pending;
    this.#pending = '';
    const fits = res.write(text);
    const { callerBufferBytes } = this.#context.limits;
    if (fits || this.held.value || res.writableLength < callerBufferBytes) return;
    this.#hold();
  }

  #writeHead(): void {
    this.#res.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      [GENERATION_HEADER]: this.#generation,
      ...(this.#cursor === undefined ? {} : { [CURSOR_HEADER]: this.#cursor }),
    });
  }

  /** The socket's own timeout sees whether the caller goes on reading, however slowly. */
  #hold(): void {
    const res = this.#res;
    this.held.next(true);
    res.setTimeout(this.#context.limits.callerStallMs);
    res.once('drain', () => {
      if (res.writableEnded) return;
      res.setTimeout(0);
      this.held.next(false);
    });
  }

  #giveUp(): void {
    if (this.#res.writableEnded) {
      this.#res.destroy();
      return;
    }
    const { callerStallMs } = this.#context.limits;
    this.#refuse(mismatch(`the caller read nothing for ${callerStallMs} ms`));
  }
}

/** Sends the answer as one JSON object when it is whole. */
export function sendWhole(
  res: ServerResponse,
  metadata: CompletionMetadata,
  answer: Observable<AnswerEvent>,
): void {
  const texts: string[] = [];
  const subscription = answer.subscribe((event) => {
    switch (event.kind) {
      case 'token':
        texts.push(event.text);
        break;
      case 'finish':
        if (event.tokens !== texts.length) {
          sendRefusal(res, mismatch(`${texts.length} tokens of ${event.tokens} came`));
          return;
        }
        res.writeHead(200, {
          'content-type': 'application/json', [GENERATION_HEADER]: metadata.id,
        });
        res.end(completionJson(metadata, texts.join(''), event));
        break;
      case 'refusal':
        sendRefusal(res, event.refusal);
        break;
    }
  });
  whenClosed(res, () => subscription.unsubscribe());
}
