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

export interface AnswerStreamOptions {
  readonly metadata: CompletionMetadata;
  /** Tokens that a returning caller has already. */
  readonly resumeFrom: number;
  readonly limits: Limits;
  /** Gathers the writes of all answers, which are most of the cost of a token. */
  readonly batcher: Batcher;
}

function interrupted(message: string): Refusal {
  return { code: 'interrupted', message, ran: 'partly' };
}

export class AnswerStream {
  /** True while the caller does not read. */
  readonly backpressure = new BehaviorSubject(false);

  readonly #res: ServerResponse;

  readonly #options: AnswerStreamOptions;

  readonly #chunks: ChunkSerializer;

  #tokens: number;

  #buffer = '';

  #cursor: string | undefined;

  #generation: string;

  #subscription = Subscription.EMPTY;

  readonly #flushCallback = () => this.#flush();

  private constructor(res: ServerResponse, options: AnswerStreamOptions) {
    this.#res = res;
    this.#options = options;
    this.#chunks = ChunkSerializer.of(options.metadata);
    this.#tokens = options.resumeFrom;
    this.#generation = options.metadata.id;
  }

  static of(res: ServerResponse, options: AnswerStreamOptions): AnswerStream {
    return new AnswerStream(res, options);
  }

  /** Names the attempt that the answer now comes from to the caller. */
  setCursor(cursor: string, generation: string): void {
    this.#cursor = cursor;
    this.#generation = generation;
    // A comment: readers of server-sent events that don't know it pass over it.
    if (this.#res.headersSent) this.#write(`: ${CURSOR_HEADER} ${cursor}\n\n`);
  }

  /** Writes the answer until it ends or the caller goes. */
  send(answer: Observable<AnswerEvent>): void {
    this.#subscription = answer.subscribe((event) => this.#onEvent(event));
    this.#res.on('timeout', () => this.#onTimeout());
    whenClosed(this.#res, () => this.#subscription.unsubscribe());
  }

  #onEvent(event: AnswerEvent): void {
    switch (event.kind) {
      case 'token':
        if (event.position !== this.#tokens) {
          this.#refuse(interrupted(`token ${event.position} came in place of ${this.#tokens}`));
          return;
        }
        this.#tokens += 1;
        this.#writeEvent(event.position, this.#chunks.token(event.text));
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
      this.#refuse(interrupted(`${this.#tokens} tokens of ${finish.tokens} were sent`));
      return;
    }
    this.#writeEvent(finish.tokens - 1, this.#chunks.finish(finish.reason));
    if (this.#options.metadata.includeUsage) this.#write(`data: ${this.#chunks.usage(finish)}\n\n`);
    this.#write('data: [DONE]\n\n');
    this.#end();
  }

  #refuse(refusal: Refusal): void {
    this.#subscription.unsubscribe();
    if (this.#res.headersSent || this.#buffer !== '') {
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
    res.setTimeout(this.#options.limits.callerStallMs);
  }

  /** @param position the last token that the caller then has */
  #writeEvent(position: number, json: string): void {
    this.#write(`id: ${this.#generation}.${position}\ndata: ${json}\n\n`);
  }

  #write(text: string): void {
    if (this.#buffer === '') {
      // A first token is not made to wait.
      const { batcher } = this.#options;
      if (this.#res.headersSent && batcher.shouldDefer()) batcher.defer(this.#flushCallback);
      else queueMicrotask(this.#flushCallback);
    }
    this.#buffer += text;
  }

  #flush(): void {
    const res = this.#res;
    if (this.#buffer === '' || res.destroyed) return;
    if (!res.headersSent) this.#writeHead();
    const text = this.#buffer;
    this.#buffer = '';
    const fits = res.write(text);
    const { callerBufferBytes } = this.#options.limits;
    if (fits || this.backpressure.value || res.writableLength < callerBufferBytes) return;
    this.#pause();
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
  #pause(): void {
    const res = this.#res;
    this.backpressure.next(true);
    res.setTimeout(this.#options.limits.callerStallMs);
    res.once('drain', () => {
      if (res.writableEnded) return;
      res.setTimeout(0);
      this.backpressure.next(false);
    });
  }

  #onTimeout(): void {
    if (this.#res.writableEnded) {
      this.#res.destroy();
      return;
    }
    const { callerStallMs } = this.#options.limits;
    this.#refuse(interrupted(`the caller read nothing for ${callerStallMs} ms`));
  }
}

/** Sends the answer as one JSON object when it is whole. */
export function sendCompletion(
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
          sendRefusal(res, interrupted(`${texts.length} tokens of ${event.tokens} came`));
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
