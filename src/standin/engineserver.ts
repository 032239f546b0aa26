/**
 * Serves a stand-in engine over HTTP with the protocol of `engines/wire`, and its counts of work at
 * `/control/work` for measurements.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { text as readText } from 'node:stream/consumers';
import type { Observable } from 'rxjs';
import type { AttemptRequest, FencedOrder } from '../engines/engine.js';
import { encodeEvent } from '../engines/wire.js';
import type { StandInEngine } from './engine.js';

const STREAM_PATH = /^\/v1\/attempts\/([^/]+)\/(\d+)$/;

function sendJson(res: ServerResponse, value: unknown): void {
  res.writeHead(200, { 'content-type': 'application/json' });
  res.end(JSON.stringify(value));
}

function sendStream(res: ServerResponse, events: Observable<unknown>): void {
  res.writeHead(200, { 'content-type': 'text/event-stream' });
  res.flushHeaders();
  const subscription = events.subscribe({
    next: (event) => res.write(encodeEvent(event)),
    complete: () => res.end(),
  });
  res.on('close', () => subscription.unsubscribe());
}

async function handle(engine: StandInEngine, req: IncomingMessage, res: ServerResponse) {
  const url = new URL(req.url ?? '/', 'http://engine');
  const stream = STREAM_PATH.exec(url.pathname);
  const [, generation = '', attempt = '0'] = stream ?? [];
  if (stream && req.method === 'DELETE') {
    sendJson(res, await engine.cancel(generation, Number(attempt)));
  } else if (stream) {
    const position = Number(url.searchParams.get('position') ?? '0');
    sendStream(res, engine.join(generation, Number(attempt), position));
  } else if (url.pathname === '/v1/attempts') {
    sendStream(res, engine.generate(JSON.parse(await readText(req)) as AttemptRequest));
  } else if (url.pathname === '/v1/orders') {
    sendJson(res, await engine.order(JSON.parse(await readText(req)) as FencedOrder));
  } else if (url.pathname === '/v1/cache-events') {
    sendStream(res, engine.cacheEvents());
  } else if (url.pathname === '/v1/load') {
    sendJson(res, await engine.load());
  } else if (url.pathname === '/control/work') {
    sendJson(res, { ...engine.work, running: engine.running });
  } else {
    res.writeHead(404).end();
  }
}

/** Creates a server for the engine; the caller starts and closes it. */
export function engineServer(engine: StandInEngine): Server {
  return createServer((req, res) => {
    handle(engine, req, res).catch(() => {
      if (!res.headersSent) res.writeHead(400);
      res.end();
    });
  });
}
