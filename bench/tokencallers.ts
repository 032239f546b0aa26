/** Callers of one daemon or engine that count the tokens they are sent and time the first. */
import { request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { KEY } from './site.js';

export const MAX_TOKENS = 4_096;
const TAIL_BYTES = 600;

/** Begins a request on a connection of its own; its body is still to be sent. */
function completion(address: string, answered: (res: IncomingMessage) => void): ClientRequest {
  const [host, port] = address.split(':');
  return request({
    host,
    port,
    method: 'POST',
    path: '/v1/completions',
    agent: false,
    headers: { authorization: `Bearer ${KEY}-0` },
  }, answered);
}

/** Callers that each read one answer after another and count what comes. */
export class Callers {
  readonly #address: string;

  readonly #maxTokens: number;

  readonly #requests = new Set<ClientRequest>();

  #open = true;

  tokens = 0;

  asked = 0;

  broken = 0;

  private constructor(address: string, maxTokens: number) {
    this.#address = address;
    this.#maxTokens = maxTokens;
  }

  static of(address: string, streams: number, maxTokens = MAX_TOKENS): Callers {
    const callers = new Callers(address, maxTokens);
    Array.from({ length: streams }).forEach((_, index) => {
      setTimeout(() => callers.#ask(), index * 2);
    });
    return callers;
  }

  stop(): void {
    this.#open = false;
    this.#requests.forEach((req) => req.destroy());
  }

  #ask(): void {
    if (!this.#open) return;
    this.asked += 1;
    let seen = 0;
    let tail = '';
    const req = completion(this.#address, (res) => {
      res.setEncoding('latin1');
      res.on('data', (chunk: string) => {
        tail = (chunk.length >= TAIL_BYTES ? chunk : tail + chunk).slice(-TAIL_BYTES);
        const at = tail.lastIndexOf('\nid: ');
        if (at < 0) return;
        const position = Number(/\.(\d+)\n/.exec(tail.slice(at))?.[1] ?? seen - 1);
        this.tokens += position + 1 - seen;
        seen = position + 1;
      });
      res.on('close', () => {
        this.#requests.delete(req);
        if (!tail.endsWith('[DONE]\n\n') && this.#open) this.broken += 1;
        this.#ask();
      });
      res.on('error', () => undefined);
    });
    this.#requests.add(req);
    req.on('error', () => undefined);
    req.end(JSON.stringify({
      model: 'listing', prompt: `item ${this.asked}`, max_tokens: this.#maxTokens, stream: true,
    }));
  }
}

/** Milliseconds to the first bytes of a short answer. */
export function firstToken(address: string, index: number): Promise<number> {
  const from = performance.now();
  return new Promise((resolve, reject) => {
    const req = completion(address, (res) => {
      res.once('data', () => resolve(performance.now() - from));
      res.resume();
    });
    req.on('error', reject);
    req.end(JSON.stringify({
      model: 'listing', prompt: `item ${index}`, max_tokens: 1, stream: true,
    }));
  });
}
