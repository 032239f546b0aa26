/** HTTP client for the platform's instance list: `GET URL` returns a JSON array. */
import { request as httpRequest } from 'node:http';
import { text as readText } from 'node:stream/consumers';
import { z } from 'zod';
import type { InstanceList, ListedInstance } from './instances.js';

const DEADLINE_MS = 2_000;

const listing = z.array(z.object({
  name: z.string().min(1),
  zone: z.string().min(1),
  peerAddress: z.string().min(1),
  state: z.enum(['live', 'leaving']),
}));

export class HttpInstanceList implements InstanceList {
  readonly #url: string;

  private constructor(url: string) {
    this.#url = url;
  }

  static of(url: string): HttpInstanceList {
    return new HttpInstanceList(url);
  }

  /** Rejects if the list can't be read before the deadline or doesn't match the schema. */
  async read(): Promise<readonly ListedInstance[]> {
    return listing.parse(JSON.parse(await this.#get()));
  }

  #get(): Promise<string> {
    return new Promise((resolve, reject) => {
      const req = httpRequest(this.#url, { signal: AbortSignal.timeout(DEADLINE_MS) });
      req.on('response', (res) => {
        readText(res).then(resolve, reject);
      });
      req.on('error', reject);
      req.end();
    });
  }
}
