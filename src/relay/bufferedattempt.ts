/** An attempt of a call whose response is buffered. */
import { Subscription } from 'rxjs';
import type { LogFields } from '../common/log.js';
import { promisesNotRun } from '../common/refusal.js';
import { endToEnd } from '../entry/upstream.js';
import type { Trial } from '../rollout/trial.js';
import type { Assignment } from './assignment.js';
import type { BufferedResponse, Call, ResponseHead } from './call.js';
import type { CallAttempt, CallEvent } from './callstate.js';
import { CollectedBody } from './collectedbody.js';
import type { RelayContext } from './context.js';
import { fingerprintOf } from './fingerprint.js';
import type { ResponseClass } from './responseclass.js';
import { NO_LOAD } from './serverstate.js';
import type { ServerEntry } from './serverentry.js';

/** The load of one attempt. */
const ONE_REQUEST = { ...NO_LOAD, running: 1 };

export interface LiveAttempt {
  readonly attempt: CallAttempt;
  readonly entry: ServerEntry;
  readonly assignment: Assignment;
  readonly subscription: Subscription;
  readonly startedAt: number;
  /** Records the duration of an answer with a status. */
  readonly recordPace: (status: number) => void;
  readonly trial: Trial;
  sent: boolean;
  head: { readonly response: ResponseHead; readonly responseClass: ResponseClass } | undefined;
  readonly body: CollectedBody;
}

export interface AttemptStart {
  readonly attempt: CallAttempt;
  readonly entry: ServerEntry;
  /** Whether the call was given to no server before. */
  readonly isFirst: boolean;
}

/** Begins an attempt of which nothing has been sent, and counts it wherever attempts count. */
export function startAttempt(
  call: Call,
  { attempt, entry, isFirst }: AttemptStart,
  context: RelayContext,
): LiveAttempt {
  const {
    fleet, throttles, scheduler, reach, rollouts, paces,
  } = context;
  const { objectiveMs } = call.route;
  const startedAt = scheduler.now();
  const live = {
    attempt,
    entry,
    recordPace: paces.observeCall(entry),
    assignment: fleet.assign(entry.id, ONE_REQUEST),
    subscription: new Subscription(),
    startedAt,
    trial: rollouts.trial(call, entry, objectiveMs, isFirst),
    sent: false,
    head: undefined,
    body: CollectedBody.ofCall(call, context),
  };
  live.subscription.add(reach.watch({
    service: entry.service, startedAt, dueAt: startedAt + objectiveMs,
  }));
  throttles.take(entry);
  return live;
}

export interface AttemptFailure {
  readonly ran: 'no' | 'unknown';
  readonly message: string;
  /** The server's response, if it sent one. */
  readonly response?: BufferedResponse;
  /** Whether another server has taken over the address. */
  readonly misdirected?: boolean;
}

/** Log fields of an attempt that has failed. */
export function failureFields(
  call: Call,
  { attempt }: LiveAttempt,
  { ran, message }: AttemptFailure,
): LogFields {
  return {
    request: call.id,
    service: call.service.name,
    server: attempt.server,
    attempt: attempt.number,
    ran,
    reason: message,
    fingerprint: ran === 'unknown' ? fingerprintOf(call) : undefined,
  };
}

export function failedEvent(
  { attempt: { number }, sent }: LiveAttempt,
  {
    ran, message, response, misdirected,
  }: AttemptFailure,
): CallEvent {
  const arrival = misdirected ? 'other_server' : 'server';
  return {
    kind: 'failed',
    attempt: number,
    ran,
    arrival: sent ? arrival : 'nowhere',
    message,
    response: response && promisesNotRun(response.status) ? undefined : response,
  };
}

/** The whole response of an attempt that has ended. */
export function bufferedResponse(
  { status, headers }: ResponseHead,
  chunks: readonly Buffer[],
): BufferedResponse {
  const length = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
  return {
    status,
    headers: [...endToEnd(headers, ['content-length']), 'Content-Length', String(length)],
    body: chunks,
  };
}
