// The platform's metadata store as PROTOCOL.md describes it, as far as the system reads it: objects
// by kind and name, one revision counter, listings, and watches that wait for changes.
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { now } from './base.mjs';

const HISTORY_MS = 20_000;

export class Store {
  revision = 100;

  #objects = new Map();

  #log = [];

  #waiting = new Set();

  /** The newest revision that the history lacks. */
  #forgotten = 0;

  #server;

  address = '';

  async listen(ip) {
    this.#server = createServer((req, res) => this.#serve(req, res));
    await new Promise((resolve) => {
      this.#server.listen(0, ip, resolve);
    });
    this.address = `${ip}:${this.#server.address().port}`;
  }

  close() {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  put(kind, name, spec) {
    this.revision += 1;
    const object = {
      Metadata: {
        Name: name,
        Revision: this.revision,
        Created: this.revision,
        Finalizers: [],
        Deleting: false,
      },
      Spec: spec,
      Status: null,
    };
    this.#objects.set(`${kind}/${name}`, object);
    this.#changed(kind, { Object: object, Removed: false });
  }

  remove(kind, name) {
    const object = this.#objects.get(`${kind}/${name}`);
    if (!object) return;
    this.revision += 1;
    this.#objects.delete(`${kind}/${name}`);
    const metadata = { ...object.Metadata, Revision: this.revision };
    this.#changed(kind, { Object: { ...object, Metadata: metadata }, Removed: true });
  }

  #changed(kind, event) {
    this.#log.push({
      kind, event, revision: this.revision, at: now(),
    });
    while (this.#log[0].at < now() - HISTORY_MS) this.#forgotten = this.#log.shift().revision;
    [...this.#waiting].forEach((answer) => answer());
  }

  #serve(req, res) {
    const url = new URL(req.url, 'http://store');
    const [, root, kind, name] = url.pathname.split('/').map(decodeURIComponent);
    const answer = (status, body) => {
      res.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body));
    };
    if (root !== 'objects' || req.method !== 'GET') {
      answer(404, {});
      return;
    }
    if (name !== undefined) {
      const object = this.#objects.get(`${kind}/${name}`);
      answer(object ? 200 : 404, object ?? {});
      return;
    }
    const since = url.searchParams.get('Watch');
    if (since !== null) {
      this.#watch(kind, Number(since), Number(url.searchParams.get('WaitMs') ?? 0), res, answer);
      return;
    }
    const after = url.searchParams.get('After') ?? '';
    const items = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object).filter(({ Metadata: { Name } }) => Name > after)
      .sort((left, right) => (left.Metadata.Name < right.Metadata.Name ? -1 : 1));
    answer(200, { Items: items, MorePages: false, CurrentRev: this.revision });
  }

  #watch(kind, since, waitMs, res, answer) {
    if (since < this.#forgotten) {
      answer(410, {});
      return;
    }
    const waiting = {};
    const stop = () => {
      clearTimeout(waiting.timeout);
      this.#waiting.delete(waiting.onChange);
    };
    const finish = (isLate) => {
      const events = this.#log.filter((entry) => entry.kind === kind && entry.revision > since)
        .map(({ event }) => event);
      if (events.length === 0 && !isLate) return;
      stop();
      if (!res.destroyed) answer(200, { events, CurrentRev: this.revision });
    };
    waiting.onChange = () => finish(false);
    waiting.timeout = setTimeout(() => finish(true), waitMs);
    this.#waiting.add(waiting.onChange);
    res.on('close', stop);
    waiting.onChange();
  }
}
