/** JSON of answers in the public completions API, streamed and complete. */
import type { FinishReason } from '../engines/engine.js';
import type { AnswerFinish } from '../generation/request.js';
import type { Endpoint } from './completion.js';

export interface CompletionMetadata {
  readonly endpoint: Endpoint;
  readonly id: string;
  readonly model: string;
  /** Unix time in seconds. */
  readonly created: number;
  /** Whether a streamed answer ends with a usage chunk. */
  readonly includeUsage: boolean;
}

interface Usage {
  readonly prompt_tokens?: number;
  readonly completion_tokens: number;
  readonly total_tokens?: number;
}

/** Token counts; those that include the prompt are omitted if the engine doesn't report it. */
function usageOf({ tokens, promptTokens }: AnswerFinish): Usage {
  if (promptTokens === undefined) return { completion_tokens: tokens };
  return {
    prompt_tokens: promptTokens, completion_tokens: tokens, total_tokens: promptTokens + tokens,
  };
}

/**
 * Serialises the chunks of one streamed answer. Their constant parts are serialised once, since
 * there is a chunk for every token.
 */
export class ChunkSerializer {
  readonly #metadata: CompletionMetadata;

  readonly #prefix: string;

  readonly #suffix: string;

  #first = true;

  private constructor(metadata: CompletionMetadata) {
    this.#metadata = metadata;
    this.#prefix = `${this.#envelope().slice(0, -1)},"choices":[{"index":0,`;
    this.#suffix = metadata.includeUsage ? '],"usage":null}' : ']}';
  }

  static of(metadata: CompletionMetadata): ChunkSerializer {
    return new ChunkSerializer(metadata);
  }

  token(text: string): string {
    const json = JSON.stringify(text);
    const { endpoint } = this.#metadata;
    const role = this.#first ? '"role":"assistant",' : '';
    this.#first = false;
    const body = endpoint === 'chat' ? `"delta":{${role}"content":${json}}` : `"text":${json}`;
    return `${this.#prefix}${body},"logprobs":null,"finish_reason":null}${this.#suffix}`;
  }

  finish(reason: FinishReason): string {
    const body = this.#metadata.endpoint === 'chat' ? '"delta":{}' : '"text":""';
    return `${this.#prefix}${body},"logprobs":null,"finish_reason":"${reason}"}${this.#suffix}`;
  }

  usage(finish: AnswerFinish): string {
    const usage = JSON.stringify(usageOf(finish));
    return `${this.#envelope().slice(0, -1)},"choices":[],"usage":${usage}}`;
  }

  #envelope(): string {
    const {
      endpoint, id, model, created,
    } = this.#metadata;
    const object = endpoint === 'chat' ? 'chat.completion.chunk' : 'text_completion';
    return JSON.stringify({
      id, object, created, model,
    });
  }
}

/** The JSON of a complete answer. */
export function completionJson(
  metadata: CompletionMetadata,
  text: string,
  finish: AnswerFinish,
): string {
  const {
    endpoint, id, model, created,
  } = metadata;
  const content = endpoint === 'chat'
    ? { message: { role: 'assistant', content: text } } : { text };
  return JSON.stringify({
    id,
    object: endpoint === 'chat' ? 'chat.completion' : 'text_completion',
    created,
    model,
    choices: [{
      index: 0, ...content, logprobs: null, finish_reason: finish.reason,
    }],
    usage: usageOf(finish),
  });
}
