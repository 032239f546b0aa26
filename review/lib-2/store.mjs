/**
 * A stand-in of the platform's metadata store: lists, watches and changes of objects. It can be
 * down for a time, in which it answers 503 and does nothing.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';

const STEP_MS = 5;

const pause = (ms) => new Promise((resolve) => {
  setTimeout(resolve, ms);
});

function bodyOf(req) {
  return new Promise((resolve, reject) => {
    const parts = [];
    req.on('data', (part) => parts.push(part));
    req.on('end', () => resolve(Buffer.concat(parts).toString('utf8')));
    req.on('error', reject);
  });
}

/** An object as the store's answers hold it. */
function shown({
  name, revision, created, spec, status,
}) {
  const Metadata = {
    Name: name, Revision: revision, Created: created, Finalizers: [], Deleting: false,
  };
  return { Metadata, Spec: spec, Status: status };
}

export class Store {
  isDown = false;

  #revision = 100;

  /** By kind and name; a removed object stays as its removal. */
  #objects = new Map();

  #server = createServer((req, res) => {
    this.#answer(req, res).catch(() => res.destroy());
  });

  listen(port) {
    return new Promise((resolve) => {
      this.#server.listen(port, '127.0.0.1', resolve);
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes as the operator and the engines do; false while the store is down. */
  put(kind, name, spec) {
    if (this.isDown) return false;
    const before = this.#objects.get(`${kind}/${name}`);
    if (before && !before.removed && JSON.stringify(before.spec) === JSON.stringify(spec)) {
      return true;
    }
    this.#set(kind, name, { spec, status: before?.status ?? null, removed: false });
    return true;
  }

  remove(kind, name) {
    if (this.isDown) return false;
    const before = this.#objects.get(`${kind}/${name}`);
    if (before && !before.removed) this.#set(kind, name, { ...before, removed: true });
    return true;
  }

  #set(kind, name, { spec, status, removed }) {
    this.#revision += 1;
    const key = `${kind}/${name}`;
    const created = this.#objects.get(key)?.created ?? this.#revision;
    this.#objects.delete(key);
    const object = {
      kind, name, spec, status, removed, created, revision: this.#revision,
    };
    this.#objects.set(key, object);
    return object;
  }

  async #answer(req, res) {
    const text = await bodyOf(req);
    const url = new URL(req.url, 'http://store');
    const [, , kind, encoded, part] = url.pathname.split('/');
    const name = encoded === undefined ? undefined : decodeURIComponent(encoded);
    const send = (status, value) => {
      res.writeHead(status, { 'Content-Type': 'application/json' });
      res.end(JSON.stringify(value));
    };
    if (this.isDown) send(503, {});
    else if (req.method !== 'GET') {
      this.#write(req.method, {
        kind, name, part, text, url,
      }, send);
    } else if (url.searchParams.has('Watch')) await this.#watch(kind, url.searchParams, send);
    else this.#read(kind, name, send);
  }

  #read(kind, name, send) {
    const all = [...this.#objects.values()].filter((object) => (
      object.kind === kind && !object.removed && (name === undefined || object.name === name)));
    if (name === undefined) {
      const Items = all.map((object) => shown(object));
      send(200, { Items, MorePages: false, CurrentRev: this.#revision });
    } else if (all.length === 0) send(404, {});
    else send(200, shown(all[0]));
  }

  async #watch(kind, query, send) {
    const from = Number(query.get('Watch'));
    const until = performance.now() + Math.min(30_000, Number(query.get('WaitMs') ?? 0));
    const changed = () => [...this.#objects.values()].filter((object) => (
      object.kind === kind && object.revision > from));
    while (!this.isDown && changed().length === 0 && performance.now() < until) {
      // eslint-disable-next-line no-await-in-loop -- waits for a change
      await pause(STEP_MS);
    }
    if (this.isDown) {
      send(503, {});
      return;
    }
    const events = changed().map((object) => (
      { Removed: object.removed, Object: shown(object) }));
    send(200, { events, CurrentRev: this.#revision });
  }

  #write(method, {
    kind, name, part, text, url,
  }, send) {
    const body = text === '' ? {} : JSON.parse(text);
    const id = name ?? body.Metadata?.Name;
    const known = this.#objects.get(`${kind}/${id}`);
    const current = known?.removed ? undefined : known;
    const asked = body.Metadata?.Revision ?? url.searchParams.get('Revision');
    if (method === 'POST' && current) send(409, shown(current));
    else if (method !== 'POST' && !current) send(404, {});
    else if (method !== 'POST' && asked && Number(asked) !== current.revision) {
      send(409, shown(current));
    } else if (method === 'DELETE') {
      this.remove(kind, id);
      send(200, {});
    } else {
      const change = part === 'status'
        ? { spec: current.spec, status: body.Status ?? body }
        : { spec: body.Spec, status: current?.status ?? null };
      send(200, shown(this.#set(kind, id, { ...change, removed: false })));
    }
  }
}
