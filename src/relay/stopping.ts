/**
 * What a stopping instance still begins: what may be expected to end before the limit of its stop.
 * Anything else is refused at once, as not run, so that its caller can go to another instance.
 */
import { Subject } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Refusal } from '../common/refusal.js';
import { afterNextPoll } from '../common/time.js';
import { Drain } from '../entry/drain.js';
import type { Call } from './call.js';
import type { RelayContext } from './context.js';
import { Durations } from './durations.js';
import type { RelaySettings } from './settings.js';

/** The load balancer probes once a second and removes an instance after two failures. */
const BALANCER_LAG_MS = 2_500;
/** Open responses are cut off this long before the end of the shutdown timeout. */
const STOP_MARGIN_MS = 150;
/** Other instances serve meanwhile, so there is nothing to wait for. */
const RETRY_AFTER_MS = 100;
/** Servers slow down as they fill, and a retry of a server's may be needed. */
const SPARE = 1.25;

const STOPPED: Refusal = {
  code: 'stopping',
  message: 'the instance stopped before the answer was complete',
  ran: 'no',
  retryAfterMs: RETRY_AFTER_MS,
};

/** The graceful shutdown of the daemon. */
export function drainOf(
  { stopMs }: Pick<RelaySettings, 'stopMs'>,
  scheduler: SchedulerLike,
  log: Log,
): Drain {
  return Drain.of(scheduler, log, { lagMs: BALANCER_LAG_MS, limitMs: stopMs - STOP_MARGIN_MS });
}

/** Times that decide whether a call may begin. */
interface StopTimes { readonly leftMs: number; readonly expectedMs: number }

export class Stopping {
  readonly durations = Durations.of();

  /** Emits the refusal that ends open calls, at the limit. */
  readonly limit = new Subject<Refusal>();

  readonly #drain: Drain;

  readonly #scheduler: SchedulerLike;

  private constructor(drain: Drain, scheduler: SchedulerLike) {
    this.#drain = drain;
    this.#scheduler = scheduler;
    drain.states.subscribe((state) => {
      // Answers that came in a pause of the process are read first.
      if (state === 'expired') afterNextPoll(() => this.limit.next(STOPPED));
    });
  }

  static of(drain: Drain, scheduler: SchedulerLike): Stopping {
    return new Stopping(drain, scheduler);
  }

  get isStopping(): boolean {
    return this.#drain.state !== 'serving';
  }

  /**
   * The times of a call that might not end before the limit; undefined if it may be sent.
   *
   * @param attempts servers that it was sent to, none of which has begun an answer
   */
  lacking(call: Omit<Call, 'body'>, attempts = 0): StopTimes | undefined {
    const { leftMs, hasLagPassed } = this.#drain;
    const now = this.#scheduler.now();
    if (call.deadlineAt - now < leftMs) return undefined;
    // How long an answer takes is an estimate, and nothing has to be begun after the lag.
    const { delivery, repeat } = call.route;
    const isLate = hasLagPassed && attempts === 0 && (delivery === 'events' || repeat === 'never');
    const expectedMs = isLate ? Infinity
      : this.durations.expectedMs(call, now) ?? (hasLagPassed ? Infinity : 0);
    return expectedMs * SPARE < leftMs ? undefined : { leftMs, expectedMs };
  }
}

/** Refuses a call that a stopping instance can't complete; undefined if it may begin. */
export function stopRefusal(
  call: Omit<Call, 'body'>,
  context: Pick<RelayContext, 'stopping' | 'log'>,
  attempts = 0,
): Refusal | undefined {
  const times = context.stopping.lacking(call, attempts);
  if (!times) return undefined;
  const { leftMs, expectedMs } = times;
  context.log.event('info', 'stop_refused', {
    request: call.id,
    service: call.service.name,
    left_ms: Math.round(leftMs),
    expected_ms: expectedMs === Infinity ? undefined : Math.round(expectedMs),
    attempts,
  });
  return {
    code: 'stopping', message: 'the instance is stopping', ran: 'no', retryAfterMs: RETRY_AFTER_MS,
  };
}
