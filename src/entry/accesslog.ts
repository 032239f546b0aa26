/** The access log: one line for each response that ends. */
import type { ServerResponse } from 'node:http';
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import { whenClosed } from './body.js';
import type { Delivery } from './delivery.js';

export interface LoggedRequest {
  readonly request: string;
  readonly route: string;
  /** Scheduler time at which the request's head was received. */
  readonly receivedAt: number;
  readonly delivery: Delivery;
}

/** `status` is 0 if no response had begun; `whole` tells whether all of it was flushed. */
export interface AnswerEnd {
  readonly status: number;
  readonly whole: boolean;
  readonly ms: number;
}

/** Logs how the response ends, then calls `onEnd`. */
export function logAnswer(
  res: ServerResponse,
  {
    request, route, receivedAt, delivery,
  }: LoggedRequest,
  { log, scheduler }: { readonly log: Log; readonly scheduler: SchedulerLike },
  onEnd: (end: AnswerEnd) => void = () => undefined,
): void {
  whenClosed(res, () => {
    const { status, stage } = delivery;
    const end: AnswerEnd = {
      status, whole: stage === 'flushed', ms: scheduler.now() - receivedAt,
    };
    log.event('info', 'answered', {
      request, route, ...end, ms: Math.round(end.ms), bytes: delivery.bytes, stage,
    });
    onEnd(end);
  });
}
