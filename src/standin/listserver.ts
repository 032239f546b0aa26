/**
 * A stand-in for the platform's list of instances, in which changes appear after a delay, as they
 * do in the real one.
 *
 *     GET    /instances           the list, as it was `lagMs` ago
 *     PUT    /instances/NAME      {zone, peerAddress, state}
 *     DELETE /instances/NAME
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { text as readText } from 'node:stream/consumers';
import type { SchedulerLike } from 'rxjs';
import type { InstanceList, ListedInstance } from '../membership/instances.js';

const INSTANCE_PATH = /^\/instances(?:\/([^/]+))?$/;

export class LaggingList implements InstanceList {
  readonly #scheduler: SchedulerLike;

  readonly #lagMs: number;

  readonly #listed = new Map<string, ListedInstance>();

  private constructor(scheduler: SchedulerLike, lagMs: number) {
    this.#scheduler = scheduler;
    this.#lagMs = lagMs;
  }

  static of(scheduler: SchedulerLike, lagMs: number): LaggingList {
    return new LaggingList(scheduler, lagMs);
  }

  put(instance: ListedInstance): void {
    this.#scheduler.schedule(() => {
      this.#listed.set(instance.name, instance);
    }, this.#lagMs);
  }

  remove(name: string): void {
    this.#scheduler.schedule(() => {
      this.#listed.delete(name);
    }, this.#lagMs);
  }

  read(): Promise<readonly ListedInstance[]> {
    return Promise.resolve([...this.#listed.values()]);
  }
}

async function handle(list: LaggingList, req: IncomingMessage, res: ServerResponse) {
  const [, name] = INSTANCE_PATH.exec(req.url ?? '') ?? [];
  if (req.method === 'PUT' && name) {
    const { zone, peerAddress, state } = JSON.parse(await readText(req)) as ListedInstance;
    list.put({
      name, zone, peerAddress, state,
    });
  } else if (req.method === 'DELETE' && name) {
    list.remove(name);
  }
  res.writeHead(200, { 'content-type': 'application/json' });
  res.end(JSON.stringify(await list.read()));
}

/** Creates a server for the list; the caller starts and closes it. */
export function listServer(list: LaggingList): Server {
  return createServer((req, res) => {
    handle(list, req, res).catch(() => res.writeHead(400).end());
  });
}
