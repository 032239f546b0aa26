/**
 * The platform's metadata store over HTTP: lists and watches the objects of a kind. Each instance
 * reads it at an address of its own, through a view that may change what that instance sees.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Random } from '../../src/common/random.js';
import { monotonicScheduler } from '../../src/common/time.js';
import { MemoryObjects } from '../../src/standin/objects.js';
import type { StoredObject, WatchEvent } from '../../src/store/objects.js';

/** What an instance sees of an object's content. */
export type View = (kind: string, spec: unknown) => unknown;

const STATUS_GONE = 410;
const STATUS_UNAVAILABLE = 503;

export class PlatformStore {
  readonly #objects = MemoryObjects.of(monotonicScheduler, Random.of(1));

  readonly #servers: Server[] = [];

  /** Serves the store under another address; resolves to that address. */
  async listen(view: View = (_, spec) => spec): Promise<string> {
    const server = createServer((req, res) => {
      this.#serve(req, res, view).catch(() => res.destroy());
    });
    this.#servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  /** During an outage all calls are refused and watches that wait are cut off. */
  setOutage(outage: boolean): void {
    this.#objects.setFaults({ outage });
  }

  async put(kind: string, name: string, spec: unknown): Promise<void> {
    const existing = await this.#objects.get(`${kind}/${name}`, 'status');
    await this.#objects.put(`${kind}/${name}`, JSON.stringify(spec), existing.isOk()
      ? { kind: 'version', version: existing.value.version } : { kind: 'absent' }, 'status');
  }

  async #serve(req: IncomingMessage, res: ServerResponse, view: View): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store');
    const kind = url.pathname.replace('/objects/', '');
    const item = ({ name, version, value }: StoredObject) => ({
      Metadata: { Name: name.slice(kind.length + 1), Revision: version },
      Spec: view(kind, JSON.parse(value)),
    });
    const since = url.searchParams.get('Watch');
    if (since !== null) {
      this.#watch(kind, Number(since), Number(url.searchParams.get('WaitMs')), res, item);
      return;
    }
    const listing = await this.#objects.list(`${kind}/`, 'status');
    if (listing.isErr()) res.writeHead(STATUS_UNAVAILABLE).end('{}');
    else {
      const { version, objects } = listing.value;
      res.end(JSON.stringify({ Items: objects.map(item), MorePages: false, CurrentRev: version }));
    }
  }

  /** Answers with the first change, or with none once the time to wait is over. */
  #watch(
    kind: string,
    since: number,
    waitMs: number,
    res: ServerResponse,
    item: (object: StoredObject) => unknown,
  ): void {
    let revision = since;
    const changed = (event: Exclude<WatchEvent, { kind: 'opened' }>) => (event.kind === 'put'
      ? { Object: item(event.object) }
      : {
        Object: { Metadata: { Name: event.name.slice(kind.length + 1), Revision: event.version } },
        Removed: true,
      });
    const watch = this.#objects.watch(`${kind}/`, since, 'status').subscribe({
      next: (event) => {
        if (event.kind === 'opened') {
          revision = event.version;
          return;
        }
        // The store stands at this revision; later changes come with the next call.
        revision = event.kind === 'put' ? event.object.version : event.version;
        if (!res.writableEnded) {
          res.end(JSON.stringify({ events: [changed(event)], CurrentRev: revision }));
        }
      },
      error: ({ code }: { code: string }) => {
        const status = code === 'version_too_old' ? STATUS_GONE : STATUS_UNAVAILABLE;
        if (!res.headersSent) res.writeHead(status).end('{}');
      },
    });
    const timeout = setTimeout(() => {
      if (!res.writableEnded) res.end(JSON.stringify({ events: [], CurrentRev: revision }));
    }, waitMs);
    res.on('close', () => {
      clearTimeout(timeout);
      watch.unsubscribe();
    });
  }
}
