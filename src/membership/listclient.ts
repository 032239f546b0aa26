/** HTTP client for the platform's instance list: `GET URL` returns a JSON array. */
import { request as httpRequest } from 'node:http';
import { text as readText } from 'node:stream/consumers';
import { z } from 'zod';
import type { InstanceList, ListedInstance } from './instances.js';

const DEADLINE_MS = 2_000;

const listing = z.array(z.unknown());
const instance = z.object({
  name: z.string().min(1),
  zone: z.string().min(1),
  peerAddress: z.string().min(1),
  state: z.enum(['live', 'leaving']),
});

export class HttpInstanceList implements InstanceList {
  readonly #url: string;

  private constructor(url: string) {
    this.#url = url;
  }

  static of(url: string): HttpInstanceList {
    return new HttpInstanceList(url);
  }

  /**
   * Leaves out what can't be read. Rejects if the list can't be read before the deadline, or if it
   * has items and none can be read.
   */
  async read(): Promise<readonly ListedInstance[]> {
    const items = listing.parse(JSON.parse(await this.#get()));
    const instances = items.flatMap((item) => instance.safeParse(item).data ?? []);
    if (items.length > 0 && instances.length === 0) throw new Error('no instance can be read');
    return instances;
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
