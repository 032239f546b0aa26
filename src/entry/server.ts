/** The HTTP server for callers: validates requests, passes them to the gateway, writes answers. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { filter } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import { Batcher } from '../common/batcher.js';
import { sha256 } from '../common/hash.js';
import { sendMetrics } from '../common/metricspage.js';
import { MAX_SEED } from '../common/random.js';
import type { Random } from '../common/random.js';
import type { Refusal, RefusalCode } from '../common/refusal.js';
import { afterNextPoll, MILLISECONDS_PER_SECOND, monotonicScheduler } from '../common/time.js';
import type { Workspace } from '../configuration/configuration.js';
import { MemoryBudget } from '../memory/budget.js';
import { defaultBudgetBytes, defaultMaxConnections } from '../memory/machine.js';
import { AnswerStream, sendCompletion } from './answer.js';
import { logAnswer } from './accesslog.js';
import { readBody, sendRefusal } from './body.js';
import { Delivery } from './delivery.js';
import { whenReleased } from './gracefulclose.js';
import { idempotencyKeyOf, returningCallerOf } from './callerheaders.js';
import { createCallerServer } from './httpserver.js';
import { findModel, parseBody, requestOf } from './completion.js';
import type { Endpoint } from './completion.js';
import { Drain } from './drain.js';
import type { Gateway } from './gateway.js';
import type { RequestMetrics } from './metrics.js';
import { ServiceRelay } from './service.js';

/** Response header with the id that the logs give for the request. */
const REQUEST_ID_HEADER = 'x-request-id';
/** `Retry-After` of an instance that has no configuration yet. */
const STARTING_RETRY_AFTER_MS = 1_000;
/** Refuses what is read after the balancer has noticed the stop: it might not end in time. */
const STOPPING: Refusal = {
  code: 'stopping', message: 'the instance is stopping', ran: 'no', retryAfterMs: 1_000,
};
const STOPPED: Refusal = {
  code: 'interrupted', message: 'the instance stopped before the answer ended', ran: 'unknown',
};
const JSON_HEADERS = { 'content-type': 'application/json' };

export interface EntryOptions {
  /** Whether the instance is ready for requests; while it drains it never is. */
  readonly ready?: () => boolean;
  readonly drain?: Drain;
  /** Counts requests, and is served at `/metrics`. */
  readonly metrics?: RequestMetrics;
  readonly scheduler?: SchedulerLike;
  /** Bounds the memory held for callers; derived from the machine's by default. */
  readonly budget?: MemoryBudget;
  /** Unix time in milliseconds, for the creation time in answers. */
  readonly wallClock?: () => number;
}

/** When a request's head was received, and how far its response has got. */
interface Arrival { readonly receivedAt: number; readonly delivery: Delivery }

function refusal(code: RefusalCode, message: string): Refusal {
  return { code, message, ran: 'no' };
}

export class EntryServer {
  readonly #gateway: Gateway;

  readonly #random: Random;

  readonly #options: EntryOptions;

  readonly #scheduler: SchedulerLike;

  readonly #drain: Drain;

  readonly #budget: MemoryBudget;

  readonly #services: ServiceRelay;

  readonly #batcher: Batcher;

  readonly #open = new Set<ServerResponse>();

  private constructor(gateway: Gateway, random: Random, options: EntryOptions) {
    this.#gateway = gateway;
    this.#random = random;
    this.#options = options;
    this.#scheduler = options.scheduler ?? monotonicScheduler;
    this.#drain = options.drain ?? Drain.of(this.#scheduler, gateway.log);
    this.#budget = options.budget ?? MemoryBudget.of(defaultBudgetBytes());
    this.#services = ServiceRelay.of(gateway, this.#scheduler, this.#budget);
    this.#batcher = Batcher.of(this.#scheduler);
  }

  /** Creates the server, which the daemon starts and closes. */
  static of(gateway: Gateway, random: Random, options: EntryOptions = {}): Server {
    const entry = new EntryServer(gateway, random, options);
    const server = createCallerServer((req, res) => entry.#onRequest(req, res));
    server.limitConnections(defaultMaxConnections(), (reason) => (
      gateway.log.event('warn', 'connection_refused', { reason })));
    server.followDrain(entry.#drain);
    entry.#drain.states.pipe(filter((state) => state === 'expired'))
      .subscribe(() => afterNextPoll(() => entry.#endOpen()));
    return server;
  }

  /** Ends the answers that are open at the limit of a stop; what has ended is flushed. */
  #endOpen(): void {
    [...this.#open].filter((res) => !res.writableEnded)
      .forEach((res) => sendRefusal(res, STOPPED));
  }

  #onRequest(req: IncomingMessage, res: ServerResponse): void {
    const receivedAt = this.#scheduler.now();
    // `close` reports a broken connection; an `error` without a listener would end the process.
    req.on('error', () => undefined);
    res.on('error', () => undefined);
    let pathname: string;
    try {
      ({ pathname } = new URL(req.url ?? '/', 'http://instance'));
    } catch {
      sendRefusal(res, refusal('bad_request', 'the request target is not a URL'));
      return;
    }
    if (this.#serveStatus(req, res, pathname)) return;
    const arrival = { receivedAt, delivery: Delivery.of(res) };
    const leave = this.#drain.enter(() => ({
      request: res.getHeader(REQUEST_ID_HEADER)?.toString(),
      route: pathname,
      stage: arrival.delivery.stage,
      ...arrival.delivery.logFields,
    }));
    const countResponse = this.#options.metrics?.request(this.#routeLabel(pathname));
    this.#open.add(res);
    res.on('close', () => {
      this.#open.delete(res);
      countResponse?.(res.statusCode);
    });
    whenReleased(res, leave);
    if (this.#drain.hasLagPassed) {
      sendRefusal(res, STOPPING);
      return;
    }
    this.#handle(req, res, pathname, arrival).catch((error: unknown) => {
      this.#gateway.log.event('error', 'request_failed', { path: pathname, reason: String(error) });
      sendRefusal(res, { code: 'backend_failed', message: 'internal error', ran: 'unknown' });
    });
  }

  /** Serves liveness, readiness and metrics; false if the path is none of these. */
  #serveStatus(req: IncomingMessage, res: ServerResponse, pathname: string): boolean {
    switch (pathname) {
      case '/healthz':
        res.writeHead(200).end('ok\n');
        return true;
      case '/readyz': {
        const { ready = () => this.#gateway.configuration.revision > 0 } = this.#options;
        const serving = ready() && this.#drain.state === 'serving';
        res.writeHead(serving ? 200 : 503).end(serving ? 'ready\n' : 'not ready\n');
        return true;
      }
      case '/metrics': {
        const { metrics } = this.#options;
        if (!metrics) return false;
        sendMetrics(metrics.registry, res);
        return true;
      }
      default: return false;
    }
  }

  // eslint-disable-next-line class-methods-use-this
  #routeLabel(pathname: string): string {
    if (pathname.startsWith('/services/')) return 'service';
    const knownPaths = ['/v1/completions', '/v1/chat/completions', '/v1/models'];
    return knownPaths.includes(pathname) ? pathname : 'other';
  }

  async #handle(
    req: IncomingMessage,
    res: ServerResponse,
    pathname: string,
    arrival: Arrival,
  ): Promise<void> {
    const workspace = this.#authenticate(req);
    if (pathname.startsWith('/services/')) {
      if (workspace.isErr()) return sendRefusal(res, workspace.error);
      const id = this.#random.identifier();
      this.#logAnswer(res, id, pathname, arrival);
      return this.#services.relay(req, res, workspace.value, id);
    }
    const endpoints: Readonly<Record<string, Endpoint>> = {
      '/v1/completions': 'completion', '/v1/chat/completions': 'chat',
    };
    const endpoint = Object.hasOwn(endpoints, pathname) ? endpoints[pathname] : undefined;
    if (!endpoint && pathname !== '/v1/models') {
      return sendRefusal(res, refusal('not_found', `no such path: ${pathname}`));
    }
    const method = endpoint ? 'POST' : 'GET';
    if (req.method !== method) {
      res.setHeader('allow', method);
      return sendRefusal(res, refusal('method_not_allowed', `${pathname} takes ${method}`));
    }
    if (workspace.isErr()) return sendRefusal(res, workspace.error);
    if (!endpoint) return this.#listModels(res, workspace.value);
    const id = this.#random.identifier();
    this.#logAnswer(res, id, pathname, arrival);
    return this.#generate(endpoint, req, res, workspace.value, id);
  }

  /** Sets the request id header, and logs the response when it ends. */
  #logAnswer(res: ServerResponse, request: string, route: string, arrival: Arrival): void {
    res.setHeader(REQUEST_ID_HEADER, request);
    logAnswer(res, { request, route, ...arrival }, {
      log: this.#gateway.log, scheduler: this.#scheduler,
    });
  }

  #authenticate(req: IncomingMessage): Result<Workspace, Refusal> {
    // Without a configuration no key is known, so none may be called invalid.
    if (this.#gateway.configuration.revision === 0) {
      return err({
        code: 'not_ready',
        message: 'no configuration is known yet',
        ran: 'no',
        retryAfterMs: STARTING_RETRY_AFTER_MS,
      });
    }
    const key = /^Bearer (\S+)$/.exec(req.headers.authorization ?? '')?.[1];
    const workspace = key === undefined ? undefined : this.#gateway.workspace(key);
    return workspace ? ok(workspace) : err(refusal('unauthorized', 'unknown workspace key'));
  }

  #listModels(res: ServerResponse, workspace: Workspace): void {
    const data = Object.values(this.#gateway.configuration.models)
      .filter(({ name }) => workspace.models.length === 0 || workspace.models.includes(name))
      .map(({ name }) => ({
        id: name, object: 'model', created: 0, owned_by: 'shallotshunt',
      }));
    res.writeHead(200, JSON_HEADERS).end(JSON.stringify({ object: 'list', data }));
  }

  async #generate(
    endpoint: Endpoint,
    req: IncomingMessage,
    res: ServerResponse,
    workspace: Workspace,
    id: string,
  ): Promise<void> {
    const read = await readBody(req, this.#scheduler, { budget: this.#budget, isKnown: true, res });
    const text = read.map((bytes) => bytes.toString('utf8'));
    const parsed = text.andThen((body) => parseBody(endpoint, body));
    if (parsed.isErr()) return sendRefusal(res, parsed.error);
    const { body, stream, includeUsage } = parsed.value;
    const { configuration } = this.#gateway;
    const model = findModel(body, workspace, configuration.models);
    const key = idempotencyKeyOf(req);
    const returning = returningCallerOf(req, body.resume_text ?? undefined);
    if (model.isErr()) return sendRefusal(res, model.error);
    if (key.isErr()) return sendRefusal(res, key.error);
    if (returning.isErr()) return sendRefusal(res, returning.error);
    const request = requestOf(body, {
      id,
      seed: this.#random.integer(0, MAX_SEED),
      workspace,
      model: model.value,
      idempotencyKey: key.value,
      bodyHash: sha256(`${req.url}\n${text.unwrapOr('')}`),
    });
    const { wallClock = Date.now } = this.#options;
    const created = Math.floor(wallClock() / MILLISECONDS_PER_SECOND);
    const metadata = {
      endpoint, id, model: request.model, created, includeUsage,
    };
    if (!stream) {
      if (returning.value) {
        return sendRefusal(res, {
          code: 'bad_request', message: 'a cursor requires a streamed answer', ran: 'unknown',
        });
      }
      return sendCompletion(res, metadata, this.#gateway.generate(request));
    }
    const resumeFrom = returning.value?.tokens ?? 0;
    const answer = AnswerStream.of(res, {
      metadata, resumeFrom, limits: configuration.limits, batcher: this.#batcher,
    });
    answer.send(this.#gateway.generate(request, {
      backpressure: answer.backpressure,
      returning: returning.value,
      onCursor: (cursor, generation) => answer.setCursor(cursor, generation),
    }));
  }
}
