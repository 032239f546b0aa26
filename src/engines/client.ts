/** The HTTP client of one engine, in the protocol of `engines/wire`. */
import { Agent, request as httpRequest } from 'node:http';
import type { IncomingMessage, RequestOptions } from 'node:http';
import { text as readText } from 'node:stream/consumers';
import { createParser } from 'eventsource-parser';
import { Observable } from 'rxjs';
import type {
  AttemptFailure, AttemptRequest, CacheEvent, CancelOutcome, EngineClient, EngineEvent, FencedOrder,
  LoadReport, OrderOutcome,
} from './engine.js';
import {
  cacheEvent, cancelOutcome, engineEvent, loadReport, orderOutcome,
} from './wire.js';

const CANCEL_DEADLINE_MS = 1_000;

type Method = 'GET' | 'POST' | 'DELETE';

/** The failure for an error of the connection; only a refused connect proves that nothing ran. */
function failureOf(error: NodeJS.ErrnoException): AttemptFailure {
  const refused = error.code === 'ECONNREFUSED';
  return {
    kind: 'failed',
    cause: refused ? 'connect' : 'reset',
    ran: refused ? 'no' : 'unknown',
    message: error.message,
  };
}

function failed(
  cause: AttemptFailure['cause'],
  ran: AttemptFailure['ran'],
  message: string,
): AttemptFailure {
  return {
    kind: 'failed', cause, ran, message,
  };
}

function parseEvent(data: string): EngineEvent {
  try {
    return engineEvent.parse(JSON.parse(data));
  } catch (error) {
    return failed('protocol', 'unknown', String(error));
  }
}

/** Emits the stream's events and completes after a finish or a failure, whichever comes first. */
function readEvents(res: IncomingMessage, next: (event: EngineEvent) => void): void {
  let ended = false;
  const emit = (event: EngineEvent) => {
    if (ended) return;
    ended = event.kind === 'finish' || event.kind === 'failed';
    next(event);
  };
  const parser = createParser({ onEvent: ({ data }) => emit(parseEvent(data)) });
  res.setEncoding('utf8');
  res.on('data', (chunk: string) => parser.feed(chunk));
  res.on('error', (error) => emit(failed('reset', 'unknown', error.message)));
  res.on('close', () => emit(failed('ended_early', 'unknown', 'ended without a finish')));
}

export class HttpEngineClient implements EngineClient {
  readonly #host: string;

  readonly #port: string;

  readonly #agent = new Agent({ keepAlive: true });

  private constructor(address: string) {
    const [host = '', port = ''] = address.split(':');
    this.#host = host;
    this.#port = port;
  }

  /** @param address `host:port`, by IP */
  static of(address: string): HttpEngineClient {
    return new HttpEngineClient(address);
  }

  generate(request: AttemptRequest): Observable<EngineEvent> {
    return this.#stream('POST', '/v1/attempts', JSON.stringify(request));
  }

  join(generation: string, attempt: number, position: number): Observable<EngineEvent> {
    return this.#stream('GET', `/v1/attempts/${generation}/${attempt}?position=${position}`);
  }

  async cancel(generation: string, attempt: number): Promise<CancelOutcome> {
    try {
      const path = `/v1/attempts/${generation}/${attempt}`;
      return cancelOutcome.parse(await this.#call('DELETE', path, CANCEL_DEADLINE_MS));
    } catch {
      return { kind: 'unknown' };
    }
  }

  async load(deadlineMs: number): Promise<LoadReport> {
    return loadReport.parse(await this.#call('GET', '/v1/load', deadlineMs));
  }

  cacheEvents(): Observable<CacheEvent> {
    return new Observable((subscriber) => {
      const req = httpRequest(this.#options('GET', '/v1/cache-events'));
      const parser = createParser({
        onEvent: ({ data }) => subscriber.next(cacheEvent.parse(JSON.parse(data))),
      });
      req.on('response', (res) => {
        res.setEncoding('utf8');
        res.on('data', (chunk: string) => parser.feed(chunk));
        res.on('close', () => subscriber.error(new Error('cache events ended')));
      });
      req.on('error', (error) => subscriber.error(error));
      req.end();
      return () => req.destroy();
    });
  }

  async order(order: FencedOrder): Promise<OrderOutcome> {
    try {
      const body = JSON.stringify(order);
      return orderOutcome.parse(await this.#call('POST', '/v1/orders', order.validForMs, body));
    } catch {
      return 'unknown';
    }
  }

  #options(method: Method, path: string): RequestOptions {
    return {
      host: this.#host, port: this.#port, method, path,
    };
  }

  #stream(method: Method, path: string, body?: string): Observable<EngineEvent> {
    return new Observable((subscriber) => {
      // A fresh connection: a reset on a reused one would not tell whether the attempt began.
      const req = httpRequest({ ...this.#options(method, path), agent: false });
      const next = (event: EngineEvent) => {
        subscriber.next(event);
        if (event.kind === 'finish' || event.kind === 'failed') subscriber.complete();
      };
      req.on('response', (res) => readEvents(res, next));
      req.on('error', (error) => next(failureOf(error)));
      req.setNoDelay(true);
      req.end(body);
      return () => req.destroy();
    });
  }

  #call(method: Method, path: string, deadlineMs: number, body?: string): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const options = { ...this.#options(method, path), agent: this.#agent };
      const req = httpRequest({ ...options, signal: AbortSignal.timeout(deadlineMs) });
      req.on('response', (res) => {
        readText(res).then((text) => resolve(JSON.parse(text))).catch(reject);
      });
      req.on('error', reject);
      req.end(body);
    });
  }
}
