/**
 * A stand-in of a model engine or application server. It runs each request once on a slot, writes
 * down what it ran, registers in the store at its start and then each heartbeat, and may crash and
 * start again at the same address.
 */
import { createServer } from 'node:http';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

const HEARTBEAT_MS = 1_000;

export class Engine {
  /** What was run: request, first event, software version. */
  runs = [];

  #options;

  #sockets = new Set();

  #server;

  #beat;

  #seq = 0;

  #held = new Map();

  /**
   * @param options `id`, `service`, `address`, `zone`, `version`, `slots`, `stepMs` and `events` of
   * a stream, `workMs` of a call, `failsAfter` (number of a run), `store`, `note`
   */
  constructor(options) {
    this.#options = { ...options };
  }

  get id() {
    return this.#options.id;
  }

  get service() {
    return this.#options.service;
  }

  get address() {
    return this.#options.address;
  }

  get version() {
    return this.#options.version;
  }

  /** Starts a process of the engine, which registers at once and then each heartbeat. */
  start(version = this.#options.version) {
    this.#options.version = version;
    this.#options.born = Date.now();
    this.#seq = 0;
    this.#held.clear();
    const [host, port] = this.#options.address.split(':');
    this.#server = createServer((req, res) => this.#handle(req, res));
    this.#server.keepAliveTimeout = 20_000;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    return new Promise((resolve) => {
      this.#server.listen(Number(port), host, () => {
        this.#options.note(`engine ${this.id} starts at version ${version}`);
        this.#register();
        this.#beat = setInterval(() => this.#register(), HEARTBEAT_MS);
        resolve();
      });
    });
  }

  /** Ends as a process that is killed: all its connections are reset. */
  crash() {
    this.#options.note(`engine ${this.id} crashes`);
    clearInterval(this.#beat);
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    this.#sockets.clear();
  }

  #register() {
    const {
      id, service, address, zone, version, slots, born, store,
    } = this.#options;
    this.#seq += 1;
    store.put('servers', id, {
      Service: service,
      Address: address,
      Zone: zone,
      Version: version,
      Slots: slots,
      State: 'ready',
      ColdRemainingMs: 0,
      Stage: 'both',
      Models: [{ Name: 'm', Version: 1, Adapters: [] }],
      Seq: 0,
      born,
    });
  }

  #handle(req, res) {
    const { id, born } = this.#options;
    const json = (value) => {
      res.writeHead(200, { 'Content-Type': 'application/json' });
      res.end(JSON.stringify(value));
    };
    if (req.url === '/health') {
      res.writeHead(200, { 'Instance-Id': id, 'Content-Length': '0' }).end();
    } else if (req.url === '/report') {
      json({
        Stage: 'both', Models: [{ Name: 'm', Version: 1, Adapters: [] }], Busy: false, born,
      });
    } else if (req.url.startsWith('/kv-list')) {
      json({ epoch: born, Next: 1, held: [...this.#held].map(([part, n]) => ['', part, n, 'm']) });
    } else this.#request(req, res);
  }

  #request(req, res) {
    const { id } = this.#options;
    const parts = [];
    req.on('data', (part) => parts.push(part));
    req.on('error', () => undefined);
    res.on('error', () => undefined);
    req.on('end', () => {
      const request = req.headers['request-id'];
      const target = req.headers['target-instance'];
      const echoed = { 'Request-Id': request };
      if (target !== undefined && target !== id) {
        res.writeHead(421, { ...echoed, 'Instance-Id': id, 'Not-Executed': '1' }).end();
      } else if (req.headers['kv-from'] !== undefined) {
        // It never holds a copy of a run.
        res.writeHead(503, { ...echoed, 'Not-Executed': '1' }).end();
      } else if (req.headers['token-counts'] === undefined) this.#call(req, res, echoed);
      else this.#stream(req, res, echoed);
    });
  }

  #call(req, res, echoed) {
    const {
      workMs, version, id, failsAfter,
    } = this.#options;
    this.runs.push({ request: echoed['Request-Id'], from: 0, version });
    // After its work, it fails those of its runs whose number this names.
    const status = failsAfter?.(this.runs.length) ? 503 : 200;
    setTimeout(() => {
      const body = `answer of ${id} to ${echoed['Request-Id']}`;
      res.writeHead(status, {
        ...echoed, 'Response-Signature': `s.${id}`, 'Content-Length': String(body.length),
      });
      res.end(body);
    }, workMs);
  }

  #stream(req, res, echoed) {
    const {
      id, version, stepMs, events,
    } = this.#options;
    (req.headers['prompt-prefix'] ?? '').split(',').forEach((part) => {
      const [name, tokens] = part.split(':');
      this.#held.set(name, Number(tokens));
    });
    let event = Number(req.headers['last-event-id'] ?? 0) + 1;
    this.runs.push({ request: echoed['Request-Id'], from: event, version });
    const timer = setInterval(() => {
      if (res.destroyed) {
        clearInterval(timer);
        return;
      }
      if (!res.headersSent) {
        res.writeHead(200, {
          ...echoed, 'Response-Signature': `s.${id}`, 'Content-Type': 'text/event-stream',
        });
      }
      if (event <= events) {
        res.write(`id: ${event}\ndata: {"engine":"${id}","version":"${version}"}\n\n`);
        event += 1;
      }
      if (event > events) {
        clearInterval(timer);
        res.end();
      }
    }, stepMs);
  }
}
