/** Connects admission control to the relay: its inputs, and its refusals of calls. */
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import type { Refusal } from '../common/refusal.js';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import { Overload } from '../overload/overload.js';
import type { Shed } from '../overload/overload.js';
import { targetDelayMs } from '../overload/queuedelay.js';
import type { Call } from './call.js';
import type { RelayContext } from './context.js';
import type { Meter } from './meter.js';
import type { Peers } from './peers.js';
import type { RouteTable } from './routes.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;

export interface OverloadParts {
  readonly scheduler: SchedulerLike;
  readonly log: Log;
  readonly random: Random;
  readonly meter: Meter;
  readonly routes: () => RouteTable | undefined;
  readonly peers: () => Pick<Peers, 'alive' | 'overloaded'>;
  /** Requests whose answers have not ended. */
  readonly open: () => number;
}

/** What the process has done, by its own clocks. */
function processorUse() {
  const { user, system } = process.cpuUsage();
  return {
    idleMs: performance.eventLoopUtilization().idle,
    processorMs: (user + system) / MICROSECONDS_PER_MILLISECOND,
  };
}

/** The target of the routes in force, worked out once for each configuration. */
function targetOf(routes: () => RouteTable | undefined): () => number {
  let known: RouteTable | undefined;
  let targetMs = targetDelayMs([]);
  return () => {
    const table = routes();
    if (table !== known) targetMs = targetDelayMs(table?.configuration.routes ?? []);
    known = table;
    return targetMs;
  };
}

/** The counts of peers, worked out at most once a second: refusals ask for them. */
function peerCounts({ scheduler, peers }: OverloadParts) {
  let at = -Infinity;
  let counts = { clear: 0, overloaded: 0 };
  return () => {
    const now = scheduler.now();
    if (now - at < MILLISECONDS_PER_SECOND) return counts;
    at = now;
    const { alive, overloaded } = peers();
    counts = { clear: alive.length - overloaded.length, overloaded: overloaded.length };
    return counts;
  };
}

export function createOverload(parts: OverloadParts): Overload {
  const {
    scheduler, log, random, meter, routes,
  } = parts;
  return Overload.of({
    scheduler,
    log,
    random,
    targetMs: targetOf(routes),
    peers: peerCounts(parts),
    open: parts.open,
    processor: processorUse,
    onShed: (rank, reason) => meter.record({ kind: 'shed', rank, reason }),
  });
}

const MESSAGES: Readonly<Record<Shed['reason'], string>> = {
  deadline: 'the request can\'t be answered in time',
  late: 'the instance is overloaded',
  rank: 'the instance is overloaded',
  workspace: 'the instance is overloaded',
  share: 'the instance is overloaded',
};

export interface OverloadRefusal extends Refusal {
  /** Whether the caller is more likely to be served over another connection. */
  readonly close: boolean;
}

/** Refuses a call that an overloaded instance can't serve; undefined if it may go on. */
export function overloadRefusal(
  call: Omit<Call, 'body'>,
  { overload }: Pick<RelayContext, 'overload'>,
): OverloadRefusal | undefined {
  const { route, fields } = call;
  const shed = overload.admit({
    id: call.id,
    isStream: route.delivery === 'events',
    maxEvents: fields.outputTokens,
    rank: call.priority,
    workspace: call.workspace?.name ?? '',
    receivedAt: call.receivedAt,
    deadlineAt: call.deadlineAt,
    objectiveMs: route.objectiveMs,
    hasBegun: fields.lastEvent !== undefined,
  });
  return shed && {
    code: 'overloaded',
    message: MESSAGES[shed.reason],
    ran: 'no',
    retryAfterMs: shed.retryAfterMs,
    close: shed.close,
  };
}
