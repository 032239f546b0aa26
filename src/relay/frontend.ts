/** The HTTP server for callers: validates each request and starts its relay. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Subscription } from 'rxjs';
import type { Drain } from '../entry/drain.js';
import { logAnswer } from '../entry/accesslog.js';
import { discardRest, readBody } from '../entry/body.js';
import { breakOff } from '../entry/closedelimited.js';
import { Delivery } from '../entry/delivery.js';
import { whenReleased } from '../entry/gracefulclose.js';
import { applyHeadLimits, createCallerServer } from '../entry/httpserver.js';
import type { CallerServer } from '../entry/httpserver.js';
import { bodyOf, statusOf } from '../common/refusal.js';
import type { Refusal } from '../common/refusal.js';
import { BufferedRelay } from './bufferedrelay.js';
import type { Call } from './call.js';
import { CallerAnswer } from './calleranswer.js';
import type { RelayContext } from './context.js';
import type { RequestFields } from './dialect.js';
import { outcomeHeaders, readForwarded } from './forwardedrequest.js';
import type { ForwardedRequest } from './forwardedrequest.js';
import { InputDelay } from './inputdelay.js';
import type { MemoryLimits } from './memorylimits.js';
import { OpenAnswer } from './openanswer.js';
import { overloadRefusal } from './overloadcheck.js';
import { readHead } from './requesthead.js';
import type { ReceivedHead } from './requesthead.js';
import type { RouteTable } from './routes.js';
import { stopRefusal } from './stopping.js';
import { StreamRelay } from './streamrelay.js';

export interface FrontendContext extends RelayContext {
  readonly drain: Drain;
  readonly random: () => number;
  /** Undefined until a configuration is known. */
  readonly routes: () => RouteTable | undefined;
  readonly memory: MemoryLimits;
}

const UNAVAILABLE = 503;
const MIN_SERVER_ERROR = 500;

/** The status means that the request has not run exactly when that is certain. */
export function statusFor(refused: Refusal): number {
  const status = statusOf(refused);
  return refused.ran === 'no' && status >= MIN_SERVER_ERROR ? UNAVAILABLE : status;
}

/** A longer body costs more to read and discard than a new connection. */
const LONG_BODY_BYTES = 65_536;

/** Whether the body is long, or of a length that is not known. */
function hasLongBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined
    || Number(headers['content-length'] ?? 0) > LONG_BODY_BYTES;
}

/** A request before its body is read, and its answer. */
interface Arrival extends ReceivedHead {
  readonly delivery: Delivery;
  readonly answer: OpenAnswer;
}

/** The fields of a request, as they are after what the forwarding instance has done of it. */
function withForwarded(
  fields: RequestFields,
  forwarded: ForwardedRequest | undefined,
): RequestFields {
  if (forwarded?.lastEvent === undefined) return fields;
  return { ...fields, lastEvent: forwarded.lastEvent, resumes: fields.resumes ?? fields.id };
}

export class Frontend {
  readonly #context: FrontendContext;

  readonly #inputDelay: InputDelay;

  #server: CallerServer | undefined;

  /** Requests whose answers have not ended. */
  #open = 0;

  private constructor(context: FrontendContext) {
    this.#context = context;
    this.#inputDelay = InputDelay.of(context.scheduler, (lateMs) => (
      context.overload.sample(lateMs)));
  }

  static of(context: FrontendContext): Frontend {
    return new Frontend(context);
  }

  /** Measures how late requests are read until the subscription ends. */
  start(): Subscription {
    return this.#inputDelay.start();
  }

  /** The server for callers. */
  createServer(): CallerServer {
    this.#server = createCallerServer((req, res) => this.#onRequest(req, res, undefined));
    this.#server.on('connection', (socket) => this.#inputDelay.accepted(socket));
    this.#server.followDrain(this.#context.drain);
    this.#context.memory.limitConnections(this.#server);
    this.applyHeadLimits();
    return this.#server;
  }

  /** Applies the limits of the configuration in force to new connections and open ones. */
  applyHeadLimits(): void {
    const heads = this.#context.routes()?.configuration.heads;
    if (this.#server && heads) applyHeadLimits(this.#server, heads);
  }

  get open(): number {
    return this.#open;
  }

  /** Handles a request that another instance forwards. */
  onForwarded(req: IncomingMessage, res: ServerResponse): void {
    this.#onRequest(req, res, readForwarded(req.rawHeaders));
  }

  #onRequest(
    req: IncomingMessage,
    res: ServerResponse,
    forwarded: ForwardedRequest | undefined,
  ): void {
    const receivedAt = this.#inputDelay.arrivedAt(req.socket);
    // `close` reports a broken connection; an `error` without a listener would end the process.
    req.on('error', () => undefined);
    res.on('error', () => undefined);
    const {
      dialect, drain, log, scheduler,
    } = this.#context;
    const fields = withForwarded(dialect.readRequest(req.rawHeaders), forwarded);
    const delivery = Delivery.of(res);
    const answer = OpenAnswer.of(fields.id, receivedAt, delivery);
    const leave = drain.enter(() => answer.describe(scheduler.now()));
    // The server for callers closes its connections itself.
    if (forwarded) {
      res.on('close', () => {
        if (drain.state !== 'serving') req.socket.destroySoon();
      });
      if (drain.state !== 'serving') res.setHeader('Connection', 'close');
    }
    whenReleased(res, leave);
    this.#open += 1;
    res.once('close', () => {
      this.#open -= 1;
    });
    const head = {
      fields, receivedAt, forwarded, delivery, answer,
    };
    this.#handle(req, res, head).catch((error: unknown) => {
      log.event('error', 'request_failed', { target: req.url, reason: String(error) });
      const ran = 'unknown';
      this.#sendRefusal(res, { code: 'backend_failed', message: 'internal error', ran }, fields);
    });
  }

  async #handle(
    req: IncomingMessage,
    res: ServerResponse,
    head: Arrival,
  ): Promise<void> {
    const { fields, forwarded } = head;
    const checked = readHead(req, head, this.#context);
    if (checked.isErr()) {
      discardRest(req, res);
      this.#sendRefusal(res, checked.error, fields);
      return;
    }
    const stopped = stopRefusal(checked.value, this.#context);
    if (stopped) {
      discardRest(req, res);
      this.#sendRefusal(res, stopped, fields);
      return;
    }
    const overloaded = overloadRefusal(checked.value, this.#context);
    if (overloaded) {
      const isFromCaller = forwarded === undefined;
      if (isFromCaller && (overloaded.close || hasLongBody(req))) {
        res.setHeader('Connection', 'close');
      }
      this.#writeRefusal(res, overloaded);
      return;
    }
    const maxBytes = this.#context.routes()?.configuration.maxBodyBytes;
    const limit = this.#context.stopping.limit
      .subscribe((refusal) => this.#sendRefusal(res, refusal, fields));
    const body = await readBody(req, this.#context.scheduler, {
      maxBytes,
      budget: this.#context.memory.budget,
      isKnown: checked.value.workspace !== undefined,
      res,
    });
    limit.unsubscribe();
    if (res.writableEnded) return;
    if (body.isErr()) {
      this.#sendRefusal(res, body.error, fields);
      return;
    }
    if (res.closed || res.destroyed) return;
    head.answer.markRead();
    if (forwarded?.software !== undefined) {
      this.#context.origins.record(fields.resumes ?? checked.value.id, forwarded.software);
    }
    this.#startRelay({ ...checked.value, body: body.value }, res, head);
  }

  #startRelay(call: Call, res: ServerResponse, { delivery: sent, answer }: Arrival): void {
    const {
      retries, scheduler, meter, log, overload,
    } = this.#context;
    // The instance that forwards a request has counted it.
    if (call.forwardedBy === undefined) retries.request(call.service.name, scheduler.now());
    const unread = this.#context.memory.unread(res, call);
    const caller = CallerAnswer.of(res, {
      request: call.id,
      log,
      ownHeaders: call.forwardedBy === undefined ? [] : outcomeHeaders('answered'),
      onSending: (server) => answer.markSent(server),
      onEvent: () => overload.work.eventWritten(scheduler.now()),
      onWritten: () => unread.update(),
      sendRefusal: (refused) => this.#sendRefusal(res, refused, call),
    });
    const onCallerGone = call.route.delivery === 'events'
      ? StreamRelay.start(call, caller, this.#context)
      : BufferedRelay.start(call, caller, this.#context);
    caller.whenFailed(onCallerGone);
    // The response closes some rounds of the event loop after its caller's end has been read.
    const { socket } = res.req;
    socket.once('end', onCallerGone);
    const { id: request, receivedAt, route: { name: route } } = call;
    const answered = {
      request, route, receivedAt, delivery: sent,
    };
    logAnswer(res, answered, this.#context, ({ status, whole, ms }) => {
      socket.off('end', onCallerGone);
      if (!whole) onCallerGone();
      overload.work.requestEnded(scheduler.now());
      const { delivery } = call.route;
      meter.record({
        kind: 'answer', delivery, status: whole ? status : 0, ms,
      });
    });
  }

  /** @param request fields of its head, or the call once it has begun */
  #sendRefusal(res: ServerResponse, refused: Refusal, request: RequestFields | Call): void {
    const { log, scheduler } = this.#context;
    log.event('info', 'refuse', {
      request: request.id,
      code: refused.code,
      ran: refused.ran,
      reason: refused.message,
      retry_after_ms: refused.retryAfterMs,
      after_ms: 'receivedAt' in request ? Math.round(scheduler.now() - request.receivedAt) : 0,
    });
    this.#writeRefusal(res, refused);
  }

  #writeRefusal(res: ServerResponse, refused: Refusal): void {
    const { meter, dialect } = this.#context;
    meter.record({ kind: 'refusal', code: refused.code, ran: refused.ran });
    if (res.headersSent) {
      breakOff(res);
      return;
    }
    // As a text, it is sent with the head in one write.
    const body = bodyOf(refused);
    const { retryAfterMs } = refused;
    const length = String(Buffer.byteLength(body));
    const headers = ['Content-Type', 'application/json', 'Content-Length', length];
    if (retryAfterMs !== undefined) headers.push('Retry-After', dialect.retryAfter(retryAfterMs));
    if (readForwarded(res.req.rawHeaders)) {
      headers.push(...outcomeHeaders(refused.ran, retryAfterMs));
    }
    res.writeHead(statusFor(refused), headers);
    res.end(body);
  }
}
