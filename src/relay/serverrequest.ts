/** Builds the request to a backend server for one attempt of a call. */
import { endToEnd } from '../entry/upstream.js';
import type { AttemptOptions, AttemptPlan } from './attemptplan.js';
import type { Call } from './call.js';
import type { RelayContext } from './context.js';
import { remainingMs } from './context.js';
import type { ForwardedFields } from './dialect.js';
import type { OutgoingRequest } from './exchange.js';
import { ownerOf } from './responseclass.js';
import type { ServerEntry } from './serverentry.js';

/** Id of a stream's first event. */
export const FIRST_EVENT_ID = 1;

/** The body has been read, and Node.js would send the head of an expectation too early. */
export const REPLACED_HEADERS: readonly string[] = ['content-length', 'expect'];

export interface AttemptTarget {
  readonly server: ServerEntry;
  readonly lastEvent?: number | undefined;
  readonly standby?: string | undefined;
  readonly goOnFrom?: ForwardedFields['goOnFrom'];
}

/** What an attempt of a stream asks of its engine. */
export function streamTarget(
  { id }: Call,
  { server, standby, resumesFromCopy }: AttemptPlan,
  { from, reconnecting }: AttemptOptions,
): AttemptTarget {
  return {
    server,
    lastEvent: from > 0 || reconnecting ? from - 1 + FIRST_EVENT_ID : undefined,
    standby: standby?.address,
    goOnFrom: resumesFromCopy ? { address: server.address, run: id } : undefined,
  };
}

export function serverRequest(
  call: Call,
  target: AttemptTarget,
  context: RelayContext,
): OutgoingRequest {
  const { server } = target;
  const headers = context.dialect.serverHeaders(endToEnd(call.headers, REPLACED_HEADERS), {
    server: server.id,
    deadlineMs: remainingMs(call, context),
    workspace: call.workspace?.name,
    priority: call.service.engine ? call.priority : undefined,
    lastEvent: target.lastEvent,
    standby: target.standby,
    goOnFrom: target.goOnFrom,
  });
  const agent = context.connections.agent(server.id);
  const empty = call.body.length === 0 && (call.method === 'GET' || call.method === 'HEAD');
  return {
    agent,
    address: server.address,
    method: call.method,
    target: call.target,
    headers: empty ? headers : [...headers, 'Content-Length', String(call.body.length)],
    body: call.body,
    // An answer that names no request can't be told from the server's own on a kept connection.
    reuse: call.route.repeat === 'safe' || !agent.hadExtra(context.scheduler.now()),
    singleFields: context.dialect.responseFields,
    ownerOf: (head) => ownerOf(head, call.id, context.dialect),
    expiresAt: call.deadlineAt,
  };
}
