/** Callers of a daemon over HTTP: each streams one answer and notes when its tokens come. */
import { request } from 'node:http';
import { createParser } from 'eventsource-parser';
import { answerLength, firstInvalidToken, tokensOf } from '../src/standin/tokens.js';

export interface Question {
  readonly address: string;
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly seed: number;
  readonly priority: 'interactive' | 'standard' | 'batch';
}

export interface Gap {
  /** When the token before the pause came, in milliseconds of `performance.now()`. */
  readonly from: number;
  readonly ms: number;
}

export interface Outcome {
  readonly kind: 'answered' | 'refused' | 'cut' | 'wrong';
  readonly detail: string;
  /** The generation's identifier, from the event identifiers. */
  readonly generation: string;
  readonly startedAt: number;
  readonly firstTokenMs: number;
  readonly endedAt: number;
  /** The longest pause between two tokens. */
  readonly longest: Gap;
  readonly tokens: number;
}

interface Chunk { readonly choices: readonly { text: string; finish_reason: string | null }[] }

class Reader {
  readonly #question: Question;

  readonly #startedAt = performance.now();

  #generation = '';

  #firstTokenMs = Number.NaN;

  #lastAt = 0;

  #longest: Gap = { from: 0, ms: 0 };

  #text = '';

  #finished = false;

  #error = '';

  private constructor(question: Question) {
    this.#question = question;
  }

  static of(question: Question): Reader {
    return new Reader(question);
  }

  event(name: string | undefined, id: string | undefined, data: string): void {
    if (data === '[DONE]') return;
    if (name === 'error') {
      this.#error = data;
      return;
    }
    const [choice] = (JSON.parse(data) as Chunk).choices;
    if (!choice) return;
    this.#generation = id?.split('.')[0] ?? this.#generation;
    if (choice.finish_reason !== null) this.#finished = true;
    else this.#token(choice.text);
  }

  fail(error: string): void {
    if (this.#error === '') this.#error = error;
  }

  outcome(status: number | undefined): Outcome {
    const { kind, detail } = this.#verdict(status);
    return {
      kind,
      detail,
      generation: this.#generation,
      startedAt: this.#startedAt,
      firstTokenMs: this.#firstTokenMs,
      endedAt: performance.now(),
      longest: this.#longest,
      tokens: tokensOf(this.#text).length,
    };
  }

  #token(text: string): void {
    const now = performance.now();
    if (this.#text === '') this.#firstTokenMs = now - this.#startedAt;
    else if (now - this.#lastAt > this.#longest.ms) {
      this.#longest = { from: this.#lastAt, ms: now - this.#lastAt };
    }
    this.#lastAt = now;
    this.#text += text;
  }

  #verdict(status: number | undefined): Pick<Outcome, 'kind' | 'detail'> {
    const {
      model, prompt, maxTokens, seed,
    } = this.#question;
    const subject = {
      model,
      version: '1',
      adapter: undefined,
      input: { kind: 'prompt' as const, text: prompt },
      sampling: {
        seed, temperature: 1, maxTokens, stop: [],
      },
    };
    const bad = firstInvalidToken(subject, this.#text);
    if (bad !== -1) return { kind: 'wrong', detail: `bad token at ${bad}` };
    const length = answerLength(subject);
    const tokens = tokensOf(this.#text).length;
    if (this.#finished && tokens !== length) {
      return { kind: 'wrong', detail: `${tokens} tokens of ${length}` };
    }
    if (this.#finished) return { kind: 'answered', detail: '' };
    if (status !== undefined && (status !== 200 || this.#error.includes('"error"'))) {
      return { kind: 'refused', detail: this.#error };
    }
    return { kind: 'cut', detail: this.#error };
  }
}

/** Asks and resolves with how it went; never rejects. */
export function ask(question: Question): Promise<Outcome> {
  const [host, port] = question.address.split(':');
  const reader = Reader.of(question);
  return new Promise((resolve) => {
    const req = request({
      host,
      port,
      method: 'POST',
      path: '/v1/completions',
      headers: { authorization: `Bearer ${question.key}` },
      agent: false,
    }, (res) => {
      const parser = createParser({
        onEvent: ({ event, id, data }) => reader.event(event, id, data),
      });
      res.setEncoding('utf8');
      res.on('data', (chunk: string) => {
        if (res.statusCode === 200) parser.feed(chunk);
        else reader.fail(chunk);
      });
      res.on('error', (error) => reader.fail(error.message));
      res.on('close', () => resolve(reader.outcome(res.statusCode)));
    });
    req.on('error', (error) => {
      reader.fail(error.message);
      resolve(reader.outcome(undefined));
    });
    req.end(JSON.stringify({
      model: question.model,
      prompt: question.prompt,
      max_tokens: question.maxTokens,
      seed: question.seed,
      priority: question.priority,
      stream: true,
    }));
  });
}
