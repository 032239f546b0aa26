/**
 * Writes generated answers to callers. For a slow caller a streamed answer buffers little more than
 * `callerBufferBytes`; beyond that, backpressure pauses the engine's stream. The answer of a caller
 * that reads nothing for `callerStallMs` is ended.
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
  /** Number of tokens that a returning caller already has. */
  readonly resumeFrom: number;
  readonly limits: Limits;
  /** Batches the writes of all answers, which make up most of the cost of a token. */
  readonly batcher: Batcher;
}

function interrupted(message: string): Refusal {
  return { code: 'interrupted', message, ran: 'partly' };
}

export class AnswerStream {
  /** True while the caller reads too slowly. */
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

  /** Sends the caller the cursor of the attempt that now produces the answer. */
  setCursor(cursor: string, generation: string): void {
    this.#cursor = cursor;
    this.#generation = generation;
    // An SSE comment, which clients that don't know it ignore.
    if (this.#res.headersSent) this.#write(`: ${CURSOR_HEADER} ${cursor}\n\n`);
  }

  /** Writes the answer until it ends or the caller disconnects. */
  send(answer: Observable<AnswerEvent>): void {
    this.#subscription = answer.subscribe((event) => this.#onEvent(event));
    this.#res.on('timeout', () => this.#onTimeout());
    whenClosed(this.#res, () => this.#subscription.unsubscribe());
  }

  #onEvent(event: AnswerEvent): void {
    switch (event.kind) {
      case 'token':
        if (event.position !== this.#tokens) {
          this.#refuse(interrupted(`received token ${event.position}, expected ${this.#tokens}`));
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

  /** Ends the answer as complete only if as many tokens were sent as the finish event counts. */
  #finish(finish: AnswerFinish): void {
    if (finish.tokens !== this.#tokens) {
      this.#refuse(interrupted(`sent ${this.#tokens} of ${finish.tokens} tokens`));
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

  /** @param position position of the last token that the caller has after this event */
  #writeEvent(position: number, json: string): void {
    this.#write(`id: ${this.#generation}.${position}\ndata: ${json}\n\n`);
  }

  #write(text: string): void {
    if (this.#buffer === '') {
      // The first token is not delayed by batching.
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

  /** The socket's timeout restarts whenever the caller reads, however slowly. */
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

/** Sends the answer as one JSON object once it is complete. */
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
          sendRefusal(res, interrupted(`received ${texts.length} of ${event.tokens} tokens`));
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
