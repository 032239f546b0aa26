/**
 * Identifies a server that could not be reached, once it accepts connections again: after a restart
 * it counts as another server, even at the same address. A server may also restart under the id
 * that it had; the start of its process tells that.
 */
import { firstValueFrom, filter, takeUntil } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import { pendingInput } from '../common/time.js';
import type { Connections } from './connections.js';
import type { Dialect } from './dialect.js';
import { exchange, fetchBody } from './exchange.js';
import { isServerId } from './serverentry.js';
import type { ServerEntry } from './serverentry.js';

/** Covers two round trips between zones and the delay of a busy server. */
const CONNECT_TIMEOUT_MS = 80;
/** Servers queue a health check for a slot like any other request. */
const HEALTH_TIMEOUT_MS = 250;
const START_TIMEOUT_MS = 250;

/** Many times the length of a server's report on itself with all of its runs. */
const MAX_REPORT_BYTES = 262_144;

/**
 * `reached`: the server responds but reports no usable id, or its service has no health check.
 * `silent`: it accepts connections and doesn't respond in time.
 */
export type Identity =
  | { readonly kind: 'unreached' }
  | { readonly kind: 'reached' }
  | { readonly kind: 'silent' }
  | { readonly kind: 'known'; readonly id: string };

/** What was found at a server's address, and when the process there started, if that was asked. */
export interface ServerProcess {
  readonly identity: Identity;
  readonly startedAt: number | undefined;
}

/** The platform's request for when a server's process started. */
export interface StartQuery {
  readonly target: string;
  /** Decodes the response body, in Unix milliseconds; undefined if it is invalid. */
  read(body: string): number | undefined;
}

export interface IdentityContext {
  readonly scheduler: SchedulerLike;
  readonly connections: Connections;
  readonly dialect: Dialect;
  /** Path of a service's health check; undefined if the service has none. */
  readonly healthPath: (service: string) => string | undefined;
  /** Undefined if servers don't tell when they started. */
  readonly startQuery?: StartQuery | undefined;
}

/** Whether the server accepts a connection now. */
export function isReachable(server: ServerEntry, connections: Connections): Promise<boolean> {
  return connections.accepts(server.address, CONNECT_TIMEOUT_MS);
}

export async function identify(
  server: ServerEntry,
  {
    scheduler, connections, dialect, healthPath,
  }: IdentityContext,
): Promise<Identity> {
  if (!await isReachable(server, connections)) return { kind: 'unreached' };
  const path = healthPath(server.service);
  if (path === undefined) return { kind: 'reached' };
  const response = exchange({
    agent: connections.agent(server.id),
    address: server.address,
    method: 'GET',
    target: path,
    headers: ['Host', server.address],
    body: Buffer.alloc(0),
    reuse: false,
    singleFields: dialect.responseFields,
  }, scheduler).pipe(
    filter((event) => event.kind === 'head' || event.kind === 'failed'),
    takeUntil(pendingInput(HEALTH_TIMEOUT_MS, scheduler)),
  );
  return firstValueFrom(response).then((event): Identity => {
    if (event.kind === 'failed') {
      return { kind: event.cause === 'response' ? 'reached' : 'unreached' };
    }
    if (event.kind !== 'head') return { kind: 'unreached' };
    const { server: id } = dialect.readResponse(event.status, event.headers);
    return id === undefined || !isServerId(id) ? { kind: 'reached' } : { kind: 'known', id };
  }, () => ({ kind: 'silent' }));
}

/**
 * Identifies a server and its process. A server whose entry tells its start counts as unreached
 * until it answers when it started.
 */
export async function identifyProcess(
  server: ServerEntry,
  context: IdentityContext,
): Promise<ServerProcess> {
  const identity = await identify(server, context);
  const { startQuery, connections, scheduler } = context;
  const isOther = identity.kind === 'known' && identity.id !== server.id;
  if (!startQuery || server.startedAt === 0 || identity.kind === 'unreached' || isOther) {
    return { identity, startedAt: undefined };
  }
  const startedAt = await fetchBody({
    agent: connections.agent(server.id),
    address: server.address,
    target: startQuery.target,
    reuse: false,
    maxBodyBytes: MAX_REPORT_BYTES,
    timeoutMs: START_TIMEOUT_MS,
  }, scheduler).then((body) => startQuery.read(body), () => undefined);
  return startedAt === undefined
    ? { identity: { kind: 'unreached' }, startedAt } : { identity, startedAt };
}
