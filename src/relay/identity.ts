/**
 * Asks a server that was not reached who it is, once it accepts connections again: a server that
 * has started again is another one, even at the same address.
 */
import { firstValueFrom, filter, timeout } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { Connections } from './connections.js';
import type { Dialect } from './dialect.js';
import { exchange } from './exchange.js';
import type { ListedServer } from './server.js';

/** Two round trips between zones, with room for a server that is busy. */
const CONNECT_MS = 80;
/** A health check waits for a slot like any request. */
const HEALTH_MS = 250;

/** `reached`: it accepts connections and doesn't tell who it is. */
export type Identity =
  | { readonly kind: 'unreached' }
  | { readonly kind: 'reached' }
  | { readonly kind: 'known'; readonly id: string };

export interface IdentityContext {
  readonly scheduler: SchedulerLike;
  readonly connections: Connections;
  readonly dialect: Dialect;
  /** The path of a service's health checks, where it has one. */
  readonly healthPath: (service: string) => string | undefined;
}

/** Whether the server accepts a connection now. */
export function reaches(server: ListedServer, connections: Connections): Promise<boolean> {
  return connections.accepts(server.address, CONNECT_MS);
}

export async function identify(
  server: ListedServer,
  {
    scheduler, connections, dialect, healthPath,
  }: IdentityContext,
): Promise<Identity> {
  if (!await reaches(server, connections)) return { kind: 'unreached' };
  const path = healthPath(server.service);
  if (path === undefined) return { kind: 'reached' };
  const answer = exchange({
    agent: connections.agent(server.id),
    address: server.address,
    method: 'GET',
    target: path,
    headers: ['Host', server.address],
    body: Buffer.alloc(0),
    reuse: false,
  }, scheduler).pipe(
    filter((event) => event.kind === 'head' || event.kind === 'failed'),
    timeout({ first: HEALTH_MS, scheduler }),
  );
  return firstValueFrom(answer).then((event): Identity => {
    if (event.kind !== 'head') return { kind: 'unreached' };
    const { server: id } = dialect.readResponse(event.status, event.headers);
    return id === undefined ? { kind: 'reached' } : { kind: 'known', id };
  }, () => ({ kind: 'reached' }));
}
