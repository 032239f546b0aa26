/**
 * The path of a request below HTTP: admission, a claim for requests that must not run twice, then
 * the generation, whose answer is streamed. Tests drive daemons through this class.
 */
import { Observable, Subscription } from 'rxjs';
import type { Result } from 'neverthrow';
import type { Configuration, Workspace } from '../configuration/configuration.js';
import type { Claims, ClaimReference } from '../claims/claims.js';
import { sha256 } from '../common/hash.js';
import type { Log } from '../common/log.js';
import { statusOf } from '../common/refusal.js';
import type { Refusal } from '../common/refusal.js';
import { monotonicScheduler } from '../common/time.js';
import { verifyCursor, requestDigest, signCursor } from '../generation/cursor.js';
import { noopMeter } from '../generation/meter.js';
import { ResumePacer } from '../generation/pacing.js';
import { generate } from '../generation/run.js';
import type { GenerationContext } from '../generation/run.js';
import type { AnswerEvent, GenerationRequest } from '../generation/request.js';
import type { Attempt } from '../generation/state.js';
import type { Admission } from '../limits/admission.js';
import { CrashingRequests } from '../limits/crashingrequests.js';
import type { Dispatcher } from '../routing/dispatcher.js';
import { claimRefusal } from './claimrefusal.js';

/** Maximum number of concurrent resumes for each engine that is up. */
const RESUMES_PER_ENGINE = 4;
const STATUS_OK = 200;
/** Status recorded for a claim whose caller disconnected before the answer ended. */
const CLIENT_CLOSED_REQUEST = 499;

export interface GatewayContext extends GenerationContext {
  readonly configuration: () => Configuration;
  /** Claims the keys of requests that must not run twice; without it they are refused. */
  readonly claims?: Claims;
  /** Key for signing cursors, the same on every instance of the deployment. */
  readonly cursorKey?: string;
}

/** A caller that reconnects, and the position at which its answer resumes. */
export interface ReturningCaller {
  readonly cursor: string;
  /** Number of the answer's tokens that the caller has. */
  readonly tokens: number;
  /** Their text, without which the answer can't resume on another engine. */
  readonly text: string | undefined;
}

export interface AnswerOptions {
  /** True while the caller reads too slowly. */
  readonly backpressure?: Observable<boolean>;
  readonly returning?: ReturningCaller;
  /** Called with the cursor and the generation's id for every dispatched attempt. */
  readonly onCursor?: (cursor: string, generation: string) => void;
}

/** Marks a returning caller's refusal: its request was dispatched before, so it may have run. */
function markAsRun(refusal: Refusal, returning: ReturningCaller | undefined): Refusal {
  if (!returning) return refusal;
  return { ...refusal, ran: returning.tokens > 0 ? 'partly' : 'unknown' };
}

export class Gateway {
  readonly #context: GatewayContext & { readonly crashes: CrashingRequests };

  private constructor(context: GatewayContext) {
    const { directory, configuration } = context;
    const pacer = ResumePacer.of(() => (
      RESUMES_PER_ENGINE * directory.engines().filter(({ health }) => health === 'up').length));
    const { scheduler = monotonicScheduler, log } = context;
    this.#context = {
      pacer,
      scheduler,
      crashes: CrashingRequests.of({ scheduler, log }),
      hedges: () => configuration().deployment.favour === 'latency',
      ...context,
    };
  }

  static of(context: GatewayContext): Gateway {
    return new Gateway(context);
  }

  get configuration(): Configuration {
    return this.#context.configuration();
  }

  get dispatcher(): Dispatcher {
    return this.#context.dispatcher;
  }

  get claims(): Claims | undefined {
    return this.#context.claims;
  }

  /** Requests that crash servers, which are refused. */
  get crashes(): CrashingRequests {
    return this.#context.crashes;
  }

  get log(): Log {
    return this.#context.log;
  }

  /** The workspace that a bearer key belongs to. */
  workspace(key: string): Workspace | undefined {
    const hash = sha256(key);
    return Object.values(this.configuration.workspaces)
      .find(({ keyHashes }) => keyHashes.includes(hash));
  }

  /** Admits a request; a refused one has not run. */
  admit(workspace: string, priority: GenerationRequest['priority']): Result<Admission, Refusal> {
    return this.#context.dispatcher.admit(workspace, priority)
      .mapErr((refusal) => this.#recordRefusal(refusal));
  }

  /** Admits the request and streams its answer; unsubscribing cancels it. */
  generate(request: GenerationRequest, options: AnswerOptions = {}): Observable<AnswerEvent> {
    return new Observable((subscriber) => {
      const admitted = this.#context.dispatcher.admit(request.workspace, request.priority);
      if (admitted.isErr()) {
        const refusal = this.#recordRefusal(markAsRun(admitted.error, options.returning));
        subscriber.next({ kind: 'refusal', refusal });
        subscriber.complete();
        return undefined;
      }
      const answer = this.#claimAndAnswer(request, options).subscribe(subscriber);
      return () => {
        answer.unsubscribe();
        admitted.value.release();
      };
    });
  }

  #recordRefusal(refusal: Refusal): Refusal {
    (this.#context.meter ?? noopMeter).refused(refusal.code);
    this.log.event('info', 'refuse', {
      code: refusal.code, ran: refusal.ran, reason: refusal.message,
    });
    return refusal;
  }

  /** Claims a keyed request that must not run twice, unless a returning caller already has. */
  #claimAndAnswer(request: GenerationRequest, options: AnswerOptions): Observable<AnswerEvent> {
    const { idempotencyKey: key, repeat } = request;
    if (key === undefined || repeat === 'safe' || options.returning) {
      return this.#answer(request, options);
    }
    const { claims } = this.#context;
    return new Observable((subscriber) => {
      const answer = new Subscription();
      const refuse = (refusal: Refusal) => {
        subscriber.next({ kind: 'refusal', refusal: this.#recordRefusal(refusal) });
        subscriber.complete();
      };
      if (!claims) {
        refuse(claimRefusal({
          kind: 'unavailable', message: 'requests with a key are not served',
        }));
        return undefined;
      }
      const { workspace, id } = request;
      const bodyHash = request.bodyHash ?? requestDigest(request);
      claims.claim({
        workspace, key, bodyHash, request: id,
      }).then((outcome) => {
        if (outcome.kind !== 'granted') refuse(claimRefusal(outcome));
        else if (answer.closed) claims.release(outcome.ref);
        else answer.add(this.#answerAndSettle(outcome.ref, request, options).subscribe(subscriber));
      }, (error: unknown) => refuse(claimRefusal({ kind: 'unavailable', message: String(error) })));
      return answer;
    });
  }

  /** Streams the answer of a claimed request, and settles the claim when it ends. */
  #answerAndSettle(
    ref: ClaimReference,
    request: GenerationRequest,
    options: AnswerOptions,
  ): Observable<AnswerEvent> {
    const claims = this.#context.claims!;
    return new Observable((subscriber) => {
      let dispatched = false;
      let settled = false;
      const settle = (status: number | undefined) => {
        if (settled) return;
        settled = true;
        if (status === undefined) claims.release(ref);
        else claims.complete(ref, status);
      };
      const answer = this.#answer(request, options, () => {
        dispatched = true;
      }).subscribe((event) => {
        if (event.kind === 'finish') settle(STATUS_OK);
        if (event.kind === 'refusal') {
          settle(event.refusal.ran === 'no' ? undefined : statusOf(event.refusal));
        }
        subscriber.next(event);
        if (event.kind !== 'token') subscriber.complete();
      });
      return () => {
        answer.unsubscribe();
        // A caller that disconnected before its request was dispatched may send it again.
        settle(dispatched ? CLIENT_CLOSED_REQUEST : undefined);
      };
    });
  }

  #answer(
    request: GenerationRequest,
    options: AnswerOptions,
    onDispatch: () => void = () => undefined,
  ): Observable<AnswerEvent> {
    const { cursorKey } = this.#context;
    const { returning, backpressure, onCursor } = options;
    const dispatchListener = (sent: GenerationRequest) => (attempt: Attempt) => {
      onDispatch();
      if (cursorKey !== undefined) onCursor?.(signCursor(sent, attempt, cursorKey), sent.id);
    };
    if (!returning) {
      return generate(request, this.#context, {
        backpressure, onDispatch: dispatchListener(request),
      });
    }
    return new Observable((subscriber) => {
      const verified = verifyCursor(returning.cursor, request, cursorKey);
      if (verified.isErr()) {
        // The request may have run even if its cursor is invalid.
        const refusal = this.#recordRefusal(markAsRun(verified.error, returning));
        subscriber.next({ kind: 'refusal', refusal });
        subscriber.complete();
        return undefined;
      }
      const {
        server, attempt, version, generation, seed,
      } = verified.value;
      const { tokens, text } = returning;
      this.log.event('info', 'return', {
        request: generation, server, attempt, tokens, text: text !== undefined,
      });
      const resumed = { ...request, id: generation, sampling: { ...request.sampling, seed } };
      return generate(resumed, this.#context, {
        backpressure,
        onDispatch: dispatchListener(resumed),
        from: {
          server, attempt, version, tokens, text,
        },
      }).subscribe(subscriber);
    });
  }
}
