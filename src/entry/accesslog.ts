/** The access log: one line for each response that ends. */
import type { ServerResponse } from 'node:http';
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import { whenClosed } from './body.js';

export interface LoggedRequest {
  readonly request: string;
  readonly route: string;
  /** Scheduler time at which the request's head was received. */
  readonly receivedAt: number;
}

/** `status` is 0 if no response had begun; `whole` tells whether all of it was sent. */
export interface AnswerEnd {
  readonly status: number;
  readonly whole: boolean;
  readonly ms: number;
}

/** Logs how the response ends, then calls `onEnd`. */
export function logAnswer(
  res: ServerResponse,
  { request, route, receivedAt }: LoggedRequest,
  { log, scheduler }: { readonly log: Log; readonly scheduler: SchedulerLike },
  onEnd: (end: AnswerEnd) => void = () => undefined,
): void {
  whenClosed(res, () => {
    const end: AnswerEnd = {
      status: res.headersSent ? res.statusCode : 0,
      whole: res.writableFinished,
      ms: scheduler.now() - receivedAt,
    };
    log.event('info', 'answered', {
      request, route, ...end, ms: Math.round(end.ms),
    });
    onEnd(end);
  });
}
