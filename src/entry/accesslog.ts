/** The log line of an answer's end. */
import type { ServerResponse } from 'node:http';
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import { whenClosed } from './body.js';

export interface LoggedRequest {
  readonly request: string;
  readonly route: string;
  /** When the request's head came, on the scheduler's clock. */
  readonly receivedAt: number;
}

/** How an answer ended: its status, 0 where none had begun, and whether the caller got it all. */
export interface AnswerEnd {
  readonly status: number;
  readonly whole: boolean;
  readonly ms: number;
}

/** Logs how the answer ends, and calls `ended` with it. */
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
