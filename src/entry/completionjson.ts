/** Answers in the published completions form, streamed and whole. */
import type { FinishReason } from '../engines/engine.js';
import type { AnswerFinish } from '../generation/request.js';
import type { Form } from './completion.js';

export interface AnswerHead {
  readonly form: Form;
  readonly id: string;
  readonly model: string;
  /** Seconds since 1970. */
  readonly created: number;
  /** Whether a streamed answer ends with its usage. */
  readonly includeUsage: boolean;
}

interface Usage {
  readonly prompt_tokens?: number;
  readonly completion_tokens: number;
  readonly total_tokens?: number;
}

/** Token counts; those of the prompt are left out where the engine doesn't tell them. */
function usageOf({ tokens, promptTokens }: AnswerFinish): Usage {
  if (promptTokens === undefined) return { completion_tokens: tokens };
  return {
    prompt_tokens: promptTokens, completion_tokens: tokens, total_tokens: promptTokens + tokens,
  };
}

/**
 * Writes the chunks of one streamed answer. What is the same in all of them is made once, since a
 * chunk is written for every token.
 */
export class ChunkJson {
  readonly #head: AnswerHead;

  readonly #prefix: string;

  readonly #suffix: string;

  #first = true;

  private constructor(head: AnswerHead) {
    this.#head = head;
    this.#prefix = `${this.#base().slice(0, -1)},"choices":[{"index":0,`;
    this.#suffix = head.includeUsage ? '],"usage":null}' : ']}';
  }

  static of(head: AnswerHead): ChunkJson {
    return new ChunkJson(head);
  }

  token(text: string): string {
    const json = JSON.stringify(text);
    const { form } = this.#head;
    const role = this.#first ? '"role":"assistant",' : '';
    this.#first = false;
    const body = form === 'chat' ? `"delta":{${role}"content":${json}}` : `"text":${json}`;
    return `${this.#prefix}${body},"logprobs":null,"finish_reason":null}${this.#suffix}`;
  }

  finish(reason: FinishReason): string {
    const body = this.#head.form === 'chat' ? '"delta":{}' : '"text":""';
    return `${this.#prefix}${body},"logprobs":null,"finish_reason":"${reason}"}${this.#suffix}`;
  }

  usage(finish: AnswerFinish): string {
    const usage = JSON.stringify(usageOf(finish));
    return `${this.#base().slice(0, -1)},"choices":[],"usage":${usage}}`;
  }

  #base(): string {
    const {
      form, id, model, created,
    } = this.#head;
    const object = form === 'chat' ? 'chat.completion.chunk' : 'text_completion';
    return JSON.stringify({
      id, object, created, model,
    });
  }
}

/** The JSON of a whole answer. */
export function wholeJson(head: AnswerHead, text: string, finish: AnswerFinish): string {
  const {
    form, id, model, created,
  } = head;
  const content = form === 'chat' ? { message: { role: 'assistant', content: text } } : { text };
  return JSON.stringify({
    id,
    object: form === 'chat' ? 'chat.completion' : 'text_completion',
    created,
    model,
    choices: [{
      index: 0, ...content, logprobs: null, finish_reason: finish.reason,
    }],
    usage: usageOf(finish),
  });
}
