/**
 * Relays calls to plain services. A call that is safe to repeat is retried on other backend servers
 * while the dispatcher allows it. Any other call is sent at most once, on a new connection, and if
 * it fails after that, it is unknown whether it ran.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { firstValueFrom } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { ClaimReference } from '../claims/claims.js';
import { sha256 } from '../common/hash.js';
import { accepts } from '../common/reachable.js';
import type { Refusal } from '../common/refusal.js';
import { statusOf } from '../common/refusal.js';
import type { Route, Service, Workspace } from '../configuration/configuration.js';
import type { MemoryBudget } from '../memory/budget.js';
import {
  MAX_BODY_BYTES, readBody, sendRefusal, whenClosed,
} from './body.js';
import { claimRefusal } from './claimrefusal.js';
import type { Gateway } from './gateway.js';
import { untilFirst } from './requestline.js';
import { ServiceFingerprint } from './servicefingerprint.js';
import { forward } from './upstream.js';
import type { ForwardResult } from './upstream.js';

const MAX_ATTEMPTS = 3;
const DEFAULT_TIMEOUT_MS = 30_000;
/** Covers two round trips between zones and the delay of a busy server. */
const CHECK_TIMEOUT_MS = 80;
const SAFE_METHODS: readonly string[] = ['GET', 'HEAD'];
const TARGET = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

function refusal(code: Refusal['code'], message: string): Refusal {
  return { code, message, ran: 'no' };
}

/** The configured route of a call, or a default that may repeat only reads. */
function routeOf(service: Service, method: string, path: string): Route {
  const configured = service.routes.find((route) => path.startsWith(route.path)
    && (route.methods.length === 0 || route.methods.includes(method)));
  return configured ?? {
    path,
    methods: [method],
    repeat: SAFE_METHODS.includes(method) ? 'safe' : 'never',
    priority: 'standard',
    timeoutMs: DEFAULT_TIMEOUT_MS,
  };
}

/** Whether the body is known to fit in memory. */
function isShort({ headers }: IncomingMessage): boolean {
  return Number(headers['content-length'] ?? Infinity) <= MAX_BODY_BYTES;
}

/** A call that is being relayed. */
interface Call {
  readonly id: string;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly workspace: Workspace;
  readonly service: Service;
  readonly route: Route;
  /** Path and query to request from the service. */
  readonly target: string;
  /** The whole body if it was read, for a retry or a claim; otherwise it is streamed. */
  readonly body: Buffer | undefined;
  readonly fingerprint: ServiceFingerprint;
}

export class ServiceRelay {
  readonly #gateway: Gateway;

  readonly #scheduler: SchedulerLike;

  readonly #budget: MemoryBudget;

  private constructor(gateway: Gateway, scheduler: SchedulerLike, budget: MemoryBudget) {
    this.#gateway = gateway;
    this.#scheduler = scheduler;
    this.#budget = budget;
  }

  static of(gateway: Gateway, scheduler: SchedulerLike, budget: MemoryBudget): ServiceRelay {
    return new ServiceRelay(gateway, scheduler, budget);
  }

  /** Relays a call to `/services/<service>/<path>`. */
  async relay(
    req: IncomingMessage,
    res: ServerResponse,
    workspace: Workspace,
    id: string,
  ): Promise<void> {
    const [, name = '', path = '/', query = ''] = TARGET.exec(req.url ?? '') ?? [];
    const { services } = this.#gateway.configuration;
    const service = Object.hasOwn(services, name) ? services[name] : undefined;
    if (!service) return sendRefusal(res, refusal('not_found', `no such service: ${name}`));
    const route = routeOf(service, req.method ?? 'GET', path);
    const key = req.headers['idempotency-key'];
    const claimed = route.repeat === 'never' && typeof key === 'string';
    let body: Buffer | undefined;
    const mayBeRefused = this.#gateway.crashes.hasEvidence && isShort(req);
    if (route.repeat === 'safe' || claimed || mayBeRefused) {
      const read = await readBody(req, this.#scheduler, {
        budget: this.#budget, isKnown: true, res,
      });
      if (read.isErr()) return sendRefusal(res, read.error);
      body = read.value;
    }
    await untilFirst(res);
    const admitted = this.#gateway.admit(workspace.name, route.priority);
    if (admitted.isErr()) return sendRefusal(res, admitted.error);
    whenClosed(res, () => admitted.value.release());
    const identity = [workspace.name, service.name, req.method, `${path}${query}`];
    const call: Call = {
      id,
      req,
      res,
      workspace,
      service,
      route,
      target: `${path}${query}`,
      body,
      fingerprint: ServiceFingerprint.of(identity, body),
    };
    if (claimed) return this.#claimAndRelay(call, key);
    const refused = await this.#tryServers(call);
    if (refused) this.#refuse(call, refused);
    return undefined;
  }

  #refuse({ id, res, service }: Call, refused: Refusal): void {
    const { code, ran, message } = refused;
    this.#gateway.log.event('info', 'refuse', {
      request: id, service: service.name, code, ran, reason: message,
    });
    sendRefusal(res, refused);
  }

  async #claimAndRelay(call: Call, key: string): Promise<void> {
    const {
      id, req, res, workspace, target, body,
    } = call;
    const { claims } = this.#gateway;
    const outcome = await claims?.claim({
      workspace: workspace.name,
      key,
      bodyHash: sha256(`${req.method} ${call.service.name} ${target}\n${body?.toString('base64')}`),
      request: id,
    }) ?? { kind: 'unavailable' as const, message: 'calls with a key are not served' };
    if (outcome.kind !== 'granted') return this.#refuse(call, claimRefusal(outcome));
    const refused = res.destroyed ? refusal('bad_request', 'the caller disconnected')
      : await this.#tryServers(call);
    this.#settle(outcome.ref, refused, res.statusCode);
    if (refused) this.#refuse(call, refused);
    return undefined;
  }

  #settle(ref: ClaimReference, refused: Refusal | undefined, status: number): void {
    if (refused?.ran === 'no') this.#gateway.claims?.release(ref);
    else this.#gateway.claims?.complete(ref, refused ? statusOf(refused) : status);
  }

  /** Tries servers until one responds; returns a refusal, not yet sent, if none does. */
  async #tryServers(call: Call): Promise<Refusal | undefined> {
    const exclude: string[] = [];
    let lastRefusal: Refusal | undefined;
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
      const rejected = this.#crashRefusal(call);
      if (rejected) return { ...rejected, ran: lastRefusal?.ran ?? 'no' };
      // eslint-disable-next-line no-await-in-loop -- each attempt depends on the one before
      const outcome = await this.#attempt(call, exclude);
      if (outcome.kind === 'answered') return undefined;
      if (outcome.kind === 'unplaced') return lastRefusal ?? outcome.refusal;
      const { ran, message } = outcome.forwarded;
      if (ran === 'unknown') this.#recordLost(call, outcome.server);
      const unknown = lastRefusal?.ran === 'unknown' || ran !== 'no';
      lastRefusal = {
        code: 'backend_failed',
        message: `the service failed: ${message}`,
        ran: unknown ? 'unknown' : 'no',
      };
      if (call.res.destroyed || (ran !== 'no' && call.route.repeat === 'never')) return lastRefusal;
      exclude.push(outcome.server);
      this.#gateway.log.event('info', 'retry', {
        request: call.id, service: call.service.name, server: outcome.server, ran, reason: message,
      });
    }
    return lastRefusal;
  }

  /** Why a call may not be sent to a server, since it crashes servers; undefined if it may. */
  #crashRefusal({ fingerprint: { value } }: Call): Refusal | undefined {
    return value === undefined ? undefined : this.#gateway.crashes.refusal(value);
  }

  #recordLost({ res, fingerprint: { value } }: Call, server: string): void {
    const address = this.#gateway.configuration.servers[server]?.address;
    // A caller that disconnects ends the connection to the server too.
    if (value === undefined || address === undefined || res.destroyed) return;
    const hasCrashed = accepts(address, CHECK_TIMEOUT_MS).then((accepted) => !accepted);
    this.#gateway.crashes.recordLost(server, value, hasCrashed);
  }

  #recordAnswer({ fingerprint: { value } }: Call, whole: boolean): void {
    if (value !== undefined && whole) this.#gateway.crashes.recordAnswer(value);
  }

  async #attempt(call: Call, exclude: readonly string[]): Promise<
    | { readonly kind: 'answered' }
    | { readonly kind: 'unplaced'; readonly refusal: Refusal }
    | {
      readonly kind: 'failed';
      readonly server: string;
      readonly forwarded: Extract<ForwardResult, { kind: 'failed' }>;
    }> {
    const { route, service, workspace } = call;
    const assigned = await firstValueFrom(this.#gateway.dispatcher.assign({
      requestId: call.id,
      workspace: workspace.name,
      priority: route.priority,
      target: { kind: 'service', service: service.name },
      resume: false,
      exclude,
    }));
    if (assigned.isErr()) return { kind: 'unplaced', refusal: assigned.error };
    const assignment = assigned.value;
    const { server } = assignment;
    const address = this.#gateway.configuration.servers[server]?.address;
    if (address === undefined || call.res.destroyed) {
      assignment.release('cancelled');
      return { kind: 'unplaced', refusal: refusal('unavailable', `${server} was removed`) };
    }
    this.#gateway.log.event('info', 'dispatch', {
      request: call.id,
      service: service.name,
      server,
      repeat: route.repeat,
      attempt: exclude.length + 1,
    });
    const forwarded = await forward({
      req: call.req,
      res: call.res,
      address,
      target: call.target,
      workspace: workspace.name,
      timeoutMs: route.timeoutMs,
      body: call.body,
      onBody: call.fingerprint.body,
    }, this.#scheduler);
    if (forwarded.kind === 'answered') {
      this.#recordAnswer(call, forwarded.whole);
      assignment.release(forwarded.whole ? 'answered' : 'failed');
      return { kind: 'answered' };
    }
    assignment.release(call.res.destroyed ? 'cancelled' : 'failed');
    return { kind: 'failed', server, forwarded };
  }
}
