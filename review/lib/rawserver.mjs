// A plain server that writes the bytes of its answers itself, so that a case can spoil them.
// Otherwise it does what PROTOCOL.md says: it registers itself, echoes `Request-Id`, signs its
// answers, keeps connections open, and serves one request at a time on each.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:net';
import { clearInterval, setInterval } from 'node:timers';
import { newId, sleep } from './base.mjs';
import { HEARTBEAT_MS } from './engine.mjs';

const HEAD_END = '\r\n\r\n';

function readHead(text) {
  const [first, ...lines] = text.split('\r\n');
  const [method, path] = first.split(' ');
  const headers = Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(':');
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
  return { method, path, headers };
}

export class RawServer {
  /** The requests that it has run. */
  runs = [];

  #seq = 0;

  #server;

  #beat;

  /**
   * @param options `spoil(answer, connection, server)` may give other bytes than the sound answer;
   * `connection.before` is the answer before it on the connection
   */
  constructor({
    store, ip, service, zone, workMs = 20, spoil = ({ text }) => text,
  }) {
    Object.assign(this, {
      store, ip, service, zone, workMs, spoil,
    });
    this.id = `i-${newId().slice(0, 10)}`;
    this.born = Date.now();
  }

  async start() {
    this.#server = createServer((socket) => this.#accept(socket));
    await new Promise((resolve) => {
      this.#server.listen(0, this.ip, resolve);
    });
    this.address = `${this.ip}:${this.#server.address().port}`;
    this.#register();
    this.#beat = setInterval(() => this.#register(), HEARTBEAT_MS);
  }

  close() {
    clearInterval(this.#beat);
    this.#server?.close();
  }

  #register() {
    this.#seq += 1;
    this.store.put('servers', this.id, {
      Service: this.service,
      Address: this.address,
      Zone: this.zone,
      Version: 'v1',
      Slots: 6,
      State: 'ready',
      ColdRemainingMs: 0,
      Seq: this.#seq,
      born: this.born,
    });
  }

  #accept(socket) {
    const connection = { before: undefined };
    let received = Buffer.alloc(0);
    let serving = Promise.resolve();
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      received = Buffer.concat([received, bytes]);
      for (let end = received.indexOf(HEAD_END); end >= 0; end = received.indexOf(HEAD_END)) {
        const request = readHead(received.subarray(0, end).toString('latin1'));
        const next = end + HEAD_END.length + Number(request.headers['content-length'] ?? 0);
        if (received.length < next) return;
        received = received.subarray(next);
        serving = serving.then(() => this.#serve(request, connection, socket));
      }
    });
  }

  async #serve({ path, headers }, connection, socket) {
    if (path === '/health') {
      socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`);
      return;
    }
    const id = headers['request-id'];
    if (headers['target-instance'] !== this.id) {
      socket.write('HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n'
        + `Request-Id: ${id}\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`);
      return;
    }
    this.runs.push({ id, path });
    await sleep(this.workMs);
    const body = `${headers.tenant}'s answer to ${id}`;
    const text = [
      'HTTP/1.1 200 OK',
      `Request-Id: ${id}`,
      `Response-Signature: ${this.id}.${id}`,
      'Keep-Alive: timeout=5',
      `Content-Length: ${body.length}`,
      '',
      body,
    ].join('\r\n');
    const written = this.spoil({ id, text }, connection, this);
    Object.assign(connection, { before: text });
    if (!socket.destroyed) socket.write(written);
  }
}
