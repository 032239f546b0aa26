/** The stream of one attempt on a stand-in engine. */
import { Subject } from 'rxjs';
import type { AttemptRequest, EngineEvent } from '../engines/engine.js';
import { inputText } from '../engines/prefix.js';
import {
  answerLength, chainAfter, chainNext, tokenAfter,
} from './tokens.js';

const CHARACTERS_PER_TOKEN = 4;

export class Stream {
  readonly request: AttemptRequest;

  readonly events = new Subject<EngineEvent>();

  /** Uncached tokens of the prompt and the accepted text. */
  readonly prefillTokens: number;

  readonly #tokens: string[] = [];

  readonly #length: number;

  #chainState: number;

  #ended = false;

  private constructor(request: AttemptRequest, prefillTokens: number) {
    this.request = request;
    this.prefillTokens = prefillTokens;
    this.#length = answerLength(request);
    this.#chainState = chainAfter(request, request.accepted);
  }

  static of(request: AttemptRequest, prefillTokens: number): Stream {
    return new Stream(request, prefillTokens);
  }

  get ended(): boolean {
    return this.#ended;
  }

  /** Length of the answer so far in tokens, including the accepted ones. */
  get position(): number {
    return this.request.accepted.tokens + this.#tokens.length;
  }

  /** Whether the answer has its full length. */
  get isComplete(): boolean {
    return this.position >= this.#length;
  }

  /** Tokens from `position` on, or undefined when the stream does not have that position. */
  tokensFrom(position: number): readonly EngineEvent[] | undefined {
    const start = this.request.accepted.tokens;
    if (position < start || position > this.position) return undefined;
    return this.#tokens.slice(position - start).map((text, offset) => (
      { kind: 'token', position: position + offset, text }));
  }

  generateToken(variant: number): void {
    const { position } = this;
    const text = tokenAfter(this.#chainState, variant);
    this.#chainState = chainNext(this.#chainState, text);
    this.#tokens.push(text);
    this.events.next({ kind: 'token', position, text });
  }

  finish(): EngineEvent {
    const { position } = this;
    const reason = position >= this.request.sampling.maxTokens ? 'length' : 'stop';
    const promptTokens = Math.ceil(inputText(this.request.input).length / CHARACTERS_PER_TOKEN);
    return {
      kind: 'finish', position, reason, promptTokens,
    };
  }

  end(): void {
    this.#ended = true;
    this.events.complete();
  }
}
