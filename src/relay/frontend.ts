/** The HTTP server for callers: validates each request and starts its relay. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Drain } from '../entry/drain.js';
import { logAnswer } from '../entry/accesslog.js';
import { readBody } from '../entry/body.js';
import { createCallerServer } from '../entry/httpserver.js';
import { bodyOf, statusOf } from '../common/refusal.js';
import type { Refusal } from '../common/refusal.js';
import { BufferedRelay } from './bufferedrelay.js';
import type { Call } from './call.js';
import type { Caller, RelayContext } from './context.js';
import type { RequestFields } from './dialect.js';
import { RouteTable } from './routes.js';
import type { Target } from './routes.js';
import { StreamRelay } from './streamrelay.js';

/** `Retry-After` of an instance that has no configuration yet. */
const STARTING_RETRY_AFTER_MS = 500;
const MAX_PRIORITY = 9;

export interface FrontendContext extends RelayContext {
  readonly drain: Drain;
  readonly random: () => number;
  /** Undefined until a configuration is known. */
  readonly routes: () => RouteTable | undefined;
}

const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;
const MIN_SERVER_ERROR = 500;
/** Statuses that tell callers that a request has not run and will not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** The status means that the request has not run exactly when that is certain. */
export function statusFor(refused: Refusal): number {
  const status = statusOf(refused);
  if (refused.ran === 'no') return status >= MIN_SERVER_ERROR ? UNAVAILABLE : status;
  return NOT_RUN_STATUSES.includes(status) ? BAD_GATEWAY : status;
}

function refusal(code: Refusal['code'], message: string): Refusal {
  return { code, message, ran: 'no' };
}

/** Picks a target with a probability in proportion to its weight; `fraction` is random. */
export function pickTarget(targets: readonly Target[], fraction: number): Target | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = fraction * total;
  return targets.find(({ weight }) => {
    remaining -= weight;
    return weight > 0 && remaining < 0;
  }) ?? targets[0];
}

export class Frontend {
  readonly #context: FrontendContext;

  private constructor(context: FrontendContext) {
    this.#context = context;
  }

  static of(context: FrontendContext): Server {
    const frontend = new Frontend(context);
    return createCallerServer((req, res) => frontend.#onRequest(req, res));
  }

  #onRequest(req: IncomingMessage, res: ServerResponse): void {
    const receivedAt = this.#context.scheduler.now();
    // `close` reports a broken connection; an `error` without a listener would end the process.
    req.on('error', () => undefined);
    res.on('error', () => undefined);
    const { dialect, drain, log } = this.#context;
    const fields = dialect.readRequest(req.rawHeaders);
    const leave = drain.enter();
    res.on('close', () => {
      leave();
      // The head of a response that began before the drain said that the connection stays open.
      if (drain.state !== 'serving') req.socket.destroySoon();
    });
    if (drain.state !== 'serving') res.setHeader('Connection', 'close');
    this.#handle(req, res, fields, receivedAt).catch((error: unknown) => {
      log.event('error', 'request_failed', { target: req.url, reason: String(error) });
      const ran = 'unknown';
      this.#sendRefusal(res, { code: 'backend_failed', message: 'internal error', ran }, fields);
    });
  }

  async #handle(
    req: IncomingMessage,
    res: ServerResponse,
    fields: RequestFields,
    receivedAt: number,
  ): Promise<void> {
    const checked = this.#validateHead(req, fields, receivedAt);
    if (checked.isErr()) {
      req.resume();
      this.#sendRefusal(res, checked.error, fields);
      return;
    }
    const maxBytes = this.#context.routes()?.configuration.maxBodyBytes;
    const body = await readBody(req, this.#context.scheduler, maxBytes);
    if (body.isErr()) {
      this.#sendRefusal(res, body.error, fields);
      return;
    }
    if (res.closed || res.destroyed) return;
    this.#startRelay({ ...checked.value, body: body.value }, res);
  }

  /** Validates a request by its head and builds the call except for its body. */
  #validateHead(
    req: IncomingMessage,
    fields: RequestFields,
    receivedAt: number,
  ): Result<Omit<Call, 'body'>, Refusal> {
    const { random } = this.#context;
    const table = this.#context.routes();
    if (!table) {
      return err({
        code: 'not_ready',
        message: 'no configuration is known yet',
        ran: 'no',
        retryAfterMs: STARTING_RETRY_AFTER_MS,
      });
    }
    const { configuration } = table;
    const target = req.url ?? '';
    const host = req.headers.host ?? '';
    if (!target.startsWith('/')) return err(refusal('bad_request', 'the target is not a path'));
    const route = table.route(host.replace(/:\d+$/, ''), target.replace(/[?#].*$/s, ''));
    if (!route) return err(refusal('not_found', 'no route matches host and path'));
    const workspace = fields.key === undefined ? undefined : table.workspace(fields.key);
    if (configuration.workspaces && !route.open && !workspace) {
      return err(refusal('unauthorized', 'unknown workspace key'));
    }
    if (fields.id === undefined) return err(refusal('bad_request', 'the request has no id'));
    const serviceName = pickTarget(route.targets, random())?.service ?? '';
    const waitMs = Math.min(route.timeoutMs, fields.deadlineMs ?? Infinity);
    return ok({
      id: fields.id,
      method: req.method ?? 'GET',
      target,
      headers: req.rawHeaders,
      fields,
      route,
      service: configuration.services[serviceName] ?? {
        name: serviceName, engine: undefined, healthPath: undefined,
      },
      workspace,
      priority: Math.min(MAX_PRIORITY, Math.max(0, workspace?.priority ?? route.priority)),
      receivedAt,
      deadlineAt: receivedAt + waitMs,
      version: configuration.version,
    });
  }

  #startRelay(call: Call, res: ServerResponse): void {
    const { retries, scheduler, meter } = this.#context;
    retries.request(call.service.name, scheduler.now());
    const caller: Caller = {
      respond: ({ status, headers, body }) => {
        res.writeHead(status, headers as string[]);
        res.end(body);
      },
      refuse: (refused) => this.#sendRefusal(res, refused, call),
      begin: ({ status, headers }) => {
        res.writeHead(status, headers as string[]);
      },
      write: (bytes) => {
        res.write(bytes);
      },
      end: () => res.end(),
      abort: () => res.destroy(),
    };
    const onCallerGone = call.route.delivery === 'events'
      ? StreamRelay.start(call, caller, this.#context)
      : BufferedRelay.start(call, caller, this.#context);
    const answered = { request: call.id, route: call.route.name, receivedAt: call.receivedAt };
    logAnswer(res, answered, this.#context, ({ status, whole, ms }) => {
      if (!whole) onCallerGone();
      const { delivery } = call.route;
      meter.record({
        kind: 'answer', delivery, status: whole ? status : 0, ms,
      });
    });
  }

  /** @param request fields of its head, or the call once it has begun */
  #sendRefusal(res: ServerResponse, refused: Refusal, request: RequestFields | Call): void {
    const {
      log, meter, dialect, scheduler,
    } = this.#context;
    meter.record({ kind: 'refusal', code: refused.code, ran: refused.ran });
    log.event('info', 'refuse', {
      request: request.id,
      code: refused.code,
      ran: refused.ran,
      reason: refused.message,
      retry_after_ms: refused.retryAfterMs,
      after_ms: 'receivedAt' in request ? Math.round(scheduler.now() - request.receivedAt) : 0,
    });
    if (res.headersSent) {
      res.destroy();
      return;
    }
    const body = Buffer.from(bodyOf(refused));
    const { retryAfterMs } = refused;
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    if (retryAfterMs !== undefined) headers.push('Retry-After', dialect.retryAfter(retryAfterMs));
    res.writeHead(statusFor(refused), headers);
    res.end(body);
  }
}
