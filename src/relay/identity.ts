/**
 * Identifies a server that could not be reached, once it accepts connections again: after a restart
 * it counts as another server, even at the same address.
 */
import { firstValueFrom, filter, takeUntil } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import { pendingInput } from '../common/time.js';
import type { Connections } from './connections.js';
import type { Dialect } from './dialect.js';
import { exchange } from './exchange.js';
import { isServerId } from './serverentry.js';
import type { ServerEntry } from './serverentry.js';

/** Covers two round trips between zones and the delay of a busy server. */
const CONNECT_TIMEOUT_MS = 80;
/** Servers queue a health check for a slot like any other request. */
const HEALTH_TIMEOUT_MS = 250;

/**
 * `reached`: the server responds but reports no usable id, or its service has no health check.
 * `silent`: it accepts connections and doesn't respond in time.
 */
export type Identity =
  | { readonly kind: 'unreached' }
  | { readonly kind: 'reached' }
  | { readonly kind: 'silent' }
  | { readonly kind: 'known'; readonly id: string };

export interface IdentityContext {
  readonly scheduler: SchedulerLike;
  readonly connections: Connections;
  readonly dialect: Dialect;
  /** Path of a service's health check; undefined if the service has none. */
  readonly healthPath: (service: string) => string | undefined;
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
