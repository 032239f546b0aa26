/** HTTP client of one engine, for the protocol of `engines/wire`. */
import { Agent, request as httpRequest } from 'node:http';
import type { IncomingMessage, RequestOptions } from 'node:http';
import { createParser } from 'eventsource-parser';
import { Observable, Subscription } from 'rxjs';
import { parseHostPort } from '../common/address.js';
import type { HostPort } from '../common/address.js';
import { openRequest } from '../common/outgoing.js';
import { readPieces } from '../common/pieces.js';
import type { Pieces } from '../common/pieces.js';
import { promisesNotRun } from '../common/refusal.js';
import type {
  AttemptFailure, AttemptRequest, CacheEvent, CancelOutcome, EngineClient, EngineEvent, FencedOrder,
  LoadReport, OrderOutcome,
} from './engine.js';
import {
  cacheEvent, cancelOutcome, engineEvent, loadReport, orderOutcome,
} from './wire.js';

const CANCEL_DEADLINE_MS = 1_000;
const MAX_EVENT_CHARACTERS = 1024 * 1024;
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
const OK = 200;
const CLIENT_ERROR = 400;
const SERVER_ERROR = 500;

type Method = 'GET' | 'POST' | 'DELETE';

function failure(
  cause: AttemptFailure['cause'],
  ran: AttemptFailure['ran'],
  message: string,
): AttemptFailure {
  return {
    kind: 'failed', cause, ran, message,
  };
}

/** Failure for a connection error; nothing can have run if the connection never opened. */
function connectionFailure(error: Error, connected: boolean): AttemptFailure {
  return connected
    ? failure('reset', 'unknown', error.message)
    : failure('connect', 'no', error.message);
}

function isPosition(value: unknown): boolean {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}

/** Checks token events, by far the most frequent ones, by hand and others with a schema. */
function parseEvent(data: string): EngineEvent {
  try {
    const value = JSON.parse(data) as { kind?: unknown; position?: unknown; text?: unknown };
    const { kind, position, text } = value;
    if (kind === 'token' && typeof text === 'string' && isPosition(position)) {
      return value as EngineEvent;
    }
    return engineEvent.parse(value);
  } catch {
    // The errors quote what the engine sent, which is not for the caller.
    return failure('protocol', 'unknown', 'an event of the engine can\'t be read');
  }
}

/** Emits the stream's events up to the first finish or failure. */
function readEvents(res: IncomingMessage, next: (event: EngineEvent) => void): Pieces {
  let ended = false;
  let sinceEvent = 0;
  const emit = (event: EngineEvent) => {
    if (ended) return;
    ended = event.kind === 'finish' || event.kind === 'failed';
    next(event);
  };
  const parser = createParser({
    onEvent: ({ data }) => {
      sinceEvent = 0;
      emit(parseEvent(data));
    },
    onError: ({ type, message }) => {
      if (type === 'max-buffer-size-exceeded') emit(failure('protocol', 'unknown', message));
    },
    maxBufferSize: MAX_EVENT_CHARACTERS,
  });
  res.setEncoding('utf8');
  res.on('error', (error) => emit(failure('reset', 'unknown', error.message)));
  res.on('close', () => emit(failure('ended_early', 'unknown', 'stream ended without a finish')));
  return readPieces<string>(res, (chunk) => {
    if (ended) return;
    sinceEvent += chunk.length;
    parser.feed(chunk);
    if (sinceEvent <= MAX_EVENT_CHARACTERS) return;
    emit(failure('protocol', 'unknown', 'the engine sends too much beside its events'));
  });
}

/**
 * Failure for a status other than 200. A 4xx says that the request was not accepted, but for those
 * that an engine, or what stands before it, may also use for a request that has run.
 */
function statusFailure(status: number): AttemptFailure {
  const isRefused = status >= CLIENT_ERROR && status < SERVER_ERROR && !promisesNotRun(status);
  return failure('refused', isRefused ? 'no' : 'unknown', `the engine answered ${status}`);
}

async function readJson(res: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  // eslint-disable-next-line no-restricted-syntax -- a stream is read in chunks
  for await (const chunk of res) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_RESPONSE_BYTES) throw new Error('the engine\'s response is too large');
    chunks.push(chunk as Buffer);
  }
  if (res.statusCode !== OK) throw new Error(`the engine answered ${res.statusCode}`);
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

export class HttpEngineClient implements EngineClient {
  readonly #address: HostPort;

  readonly #agent = new Agent({ keepAlive: true });

  private constructor(address: string) {
    this.#address = parseHostPort(address);
  }

  /** @param address `host:port`, with an IP address */
  static of(address: string): HttpEngineClient {
    return new HttpEngineClient(address);
  }

  generate(request: AttemptRequest, backpressure?: Observable<boolean>): Observable<EngineEvent> {
    return this.#stream('POST', '/v1/attempts', backpressure, JSON.stringify(request));
  }

  join(
    generation: string,
    attempt: number,
    position: number,
    backpressure?: Observable<boolean>,
  ): Observable<EngineEvent> {
    const path = `/v1/attempts/${generation}/${attempt}?position=${position}`;
    return this.#stream('GET', path, backpressure);
  }

  async cancel(generation: string, attempt: number): Promise<CancelOutcome> {
    try {
      const path = `/v1/attempts/${generation}/${attempt}`;
      // A new connection: on a kept one an earlier confirmation may come once more.
      const outcome = await this.#requestJson('DELETE', path, CANCEL_DEADLINE_MS, false);
      return cancelOutcome.parse(outcome);
    } catch {
      return { kind: 'unknown' };
    }
  }

  async load(deadlineMs: number): Promise<LoadReport> {
    return loadReport.parse(await this.#requestJson('GET', '/v1/load', deadlineMs, this.#agent));
  }

  cacheEvents(): Observable<CacheEvent> {
    return new Observable((subscriber) => {
      const req = httpRequest({ ...this.#options('GET', '/v1/cache-events'), agent: false });
      let sinceEvent = 0;
      const parser = createParser({
        onEvent: ({ data }) => {
          sinceEvent = 0;
          try {
            subscriber.next(cacheEvent.parse(JSON.parse(data)));
          } catch (error) {
            subscriber.error(error);
          }
        },
      });
      req.on('response', (res) => {
        res.setEncoding('utf8');
        readPieces<string>(res, (chunk) => {
          sinceEvent += chunk.length;
          parser.feed(chunk);
          if (sinceEvent <= MAX_EVENT_CHARACTERS) return;
          subscriber.error(new Error('the engine sends too much beside its events'));
        });
        res.on('error', (error) => subscriber.error(error));
        res.on('close', () => subscriber.error(new Error('the stream of cache events ended')));
      });
      req.on('error', (error) => subscriber.error(error));
      req.end();
      return () => req.destroy();
    });
  }

  async order(order: FencedOrder): Promise<OrderOutcome> {
    try {
      const body = JSON.stringify(order);
      return orderOutcome.parse(await this.#sendOrder(body, order.validForMs));
    } catch {
      return 'unknown';
    }
  }

  #options(method: Method, path: string): RequestOptions {
    return { ...this.#address, method, path };
  }

  #stream(
    method: Method,
    path: string,
    paused: Observable<boolean> | undefined,
    body?: string,
  ): Observable<EngineEvent> {
    return new Observable((subscriber) => {
      // A new connection: a reset of a reused one would not tell whether the attempt started.
      const opened = openRequest({ ...this.#options(method, path), agent: false });
      if (opened.isErr()) {
        subscriber.next(connectionFailure(opened.error, false));
        subscriber.complete();
        return undefined;
      }
      const req = opened.value;
      const teardown = new Subscription(() => req.destroy());
      let connected = false;
      const next = (event: EngineEvent) => {
        subscriber.next(event);
        if (event.kind === 'finish' || event.kind === 'failed') subscriber.complete();
      };
      req.on('socket', (socket) => socket.once('connect', () => {
        connected = true;
      }));
      req.on('response', (res) => {
        if (res.statusCode !== OK) {
          next(statusFailure(res.statusCode ?? SERVER_ERROR));
          return;
        }
        const pieces = readEvents(res, next);
        if (paused) teardown.add(paused.subscribe((value) => pieces.setPaused(value)));
      });
      req.on('error', (error) => next(connectionFailure(error, connected)));
      req.setNoDelay(true);
      req.end(body);
      return teardown;
    });
  }

  /**
   * Sends an order on a new connection, so that nothing is sent before the engine is reached, and
   * resets it at the deadline, which drops unsent data: an engine that doesn't check fencing
   * numbers must not receive the order later.
   */
  #sendOrder(body: string, deadlineMs: number): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const req = httpRequest({ ...this.#options('POST', '/v1/orders'), agent: false });
      const deadline = setTimeout(() => {
        req.socket?.resetAndDestroy();
        req.destroy(new Error('the engine did not answer in time'));
      }, deadlineMs);
      req.on('response', (res) => {
        readJson(res).then(resolve, reject);
      });
      req.on('error', reject);
      req.on('close', () => clearTimeout(deadline));
      req.end(body);
    });
  }

  #requestJson(
    method: Method,
    path: string,
    deadlineMs: number,
    agent: Agent | false,
  ): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const options = { ...this.#options(method, path), agent };
      const req = httpRequest({ ...options, signal: AbortSignal.timeout(deadlineMs) });
      req.on('response', (res) => {
        readJson(res).then(resolve, reject);
      });
      req.on('error', reject);
      req.end();
    });
  }
}
