/** Checks a request by its head, before its body is read. */
import type { IncomingMessage } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Refusal } from '../common/refusal.js';
import type { Call } from './call.js';
import type { RequestFields } from './dialect.js';
import { withoutForwardHeaders } from './forwardedrequest.js';
import type { ForwardedRequest } from './forwardedrequest.js';
import type { RouteTable, Target } from './routes.js';

/** `Retry-After` of an instance that has no configuration yet. */
const STARTING_RETRY_AFTER_MS = 500;
const MAX_PRIORITY = 9;

/** What is known of a request before its body is read. */
export interface ReceivedHead {
  readonly fields: RequestFields;
  /** When the head arrived, by the scheduler's clock. */
  readonly receivedAt: number;
  readonly forwarded: ForwardedRequest | undefined;
}

export interface HeadContext {
  readonly random: () => number;
  /** Undefined until a configuration is known. */
  readonly routes: () => RouteTable | undefined;
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

function refusal(code: Refusal['code'], message: string): Refusal {
  return { code, message, ran: 'no' };
}

/** Checks a request by its head and builds the call except for its body. */
export function readHead(
  req: IncomingMessage,
  { fields, receivedAt, forwarded }: ReceivedHead,
  { random, routes }: HeadContext,
): Result<Omit<Call, 'body'>, Refusal> {
  const table = routes();
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
  const callerMs = fields.deadlineMs ?? Infinity;
  const waitMs = Math.min(route.timeoutMs, callerMs, forwarded?.leftMs ?? Infinity);
  return ok({
    id: fields.id,
    method: req.method ?? 'GET',
    target,
    headers: withoutForwardHeaders(req.rawHeaders),
    fields,
    route: { ...route, maxAttempts: Math.max(1, route.maxAttempts - (forwarded?.attempts ?? 0)) },
    service: configuration.services[serviceName] ?? {
      name: serviceName, engine: undefined, healthPath: undefined,
    },
    workspace,
    priority: Math.min(MAX_PRIORITY, Math.max(0, workspace?.priority ?? route.priority)),
    receivedAt,
    deadlineAt: receivedAt + waitMs,
    version: configuration.version,
    forwardedBy: forwarded?.by,
  });
}
