/** A store that speaks the platform's protocol and holds any bytes as an object. */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ExecutionContext } from 'ava';

const WATCH_STEP_MS = 5;

interface RawObject {
  readonly kind: string;
  readonly revision: number;
  readonly removed: boolean;
  readonly bytes: Buffer;
}

/** An object's bytes as of a revision. */
export type RawItem = (revision: number) => string | Buffer;

export function itemOf(name: string, spec: unknown): RawItem {
  return (revision) => (
    JSON.stringify({ Metadata: { Name: name, Revision: revision }, Spec: spec }));
}

function joined(parts: readonly Buffer[]): Buffer {
  return Buffer.concat(parts.flatMap((part, index) => (
    index === 0 ? [part] : [Buffer.from(','), part])));
}

export class RawStore {
  address = '';

  /** Paths of the calls. */
  readonly calls: string[] = [];

  /** Objects by kind and key, in the order of their changes. */
  readonly #objects = new Map<string, RawObject>();

  readonly #pageSize: number;

  #revision = 0;

  private constructor(pageSize: number) {
    this.#pageSize = pageSize;
  }

  static async of(t: ExecutionContext, pageSize = Infinity): Promise<RawStore> {
    const store = new RawStore(pageSize);
    const server = createServer((req, res) => {
      store.#answer(req, res).catch((error: unknown) => res.destroy(error as Error));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    t.teardown(() => {
      server.close();
      server.closeAllConnections();
    });
    store.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    return store;
  }

  /** The store's revision. */
  get revision(): number {
    return this.#revision;
  }

  put(kind: string, key: string, item: RawItem): void {
    this.#change(kind, key, item, false);
  }

  remove(kind: string, key: string): void {
    this.#change(kind, key, itemOf(key, null), true);
  }

  #change(kind: string, key: string, item: RawItem, removed: boolean): void {
    this.#revision += 1;
    const path = `${kind}/${key}`;
    this.#objects.delete(path);
    this.#objects.set(path, {
      kind, removed, revision: this.#revision, bytes: Buffer.from(item(this.#revision)),
    });
  }

  async #answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '', 'http://store');
    this.calls.push(req.url ?? '');
    const kind = url.pathname.split('/')[2] ?? '';
    const watch = url.searchParams.get('Watch');
    const body = watch === null
      ? this.#page(kind, url.searchParams.get('After') ?? '')
      : await this.#changes(kind, Number(watch), Number(url.searchParams.get('WaitMs')));
    if (!res.destroyed) res.end(body);
  }

  #page(kind: string, after: string): Buffer {
    const rest = [...this.#objects].filter(([path, object]) => (
      object.kind === kind && !object.removed && path.slice(kind.length + 1) > after))
      .sort(([left], [right]) => (left < right ? -1 : 1)).map(([, { bytes }]) => bytes);
    const more = rest.length > this.#pageSize;
    return Buffer.concat([
      Buffer.from('{"Items":['), joined(rest.slice(0, this.#pageSize)),
      Buffer.from(`],"MorePages":${more},"CurrentRev":${this.#revision}}`),
    ]);
  }

  async #changes(kind: string, from: number, waitMs: number): Promise<Buffer> {
    const until = performance.now() + waitMs;
    const changed = () => [...this.#objects.values()].filter((object) => (
      object.kind === kind && object.revision > from));
    // eslint-disable-next-line no-await-in-loop -- waits for a change
    while (changed().length === 0 && performance.now() < until) await sleep(WATCH_STEP_MS);
    const events = changed().map(({ bytes, removed }) => Buffer.concat([
      Buffer.from('{"Object":'), bytes, Buffer.from(`,"Removed":${removed}}`),
    ]));
    return Buffer.concat([
      Buffer.from('{"events":['), joined(events),
      Buffer.from(`],"CurrentRev":${this.#revision}}`),
    ]);
  }
}
