/**
 * The way of a request through the daemon, below HTTP: admission, a claim for requests that must
 * not run twice, then a run whose answer is streamed. Tests drive daemons through this class.
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
import { silentMeter } from '../generation/meter.js';
import { ResumePacer } from '../generation/pacing.js';
import { generate } from '../generation/run.js';
import type { GenerationContext } from '../generation/run.js';
import type { AnswerEvent, GenerationRequest } from '../generation/request.js';
import type { Attempt } from '../generation/state.js';
import type { Admission } from '../limits/admission.js';
import type { Dispatcher } from '../routing/dispatcher.js';
import { refusalOf } from './claim.js';

/** Attempts after a loss that may be under way at once for each engine that is up. */
const RESUMES_PER_ENGINE = 4;
const OK = 200;
/** Kept for a request whose caller left; its answer was cut off. */
const CALLER_GONE = 499;

export interface GatewayContext extends GenerationContext {
  readonly configuration: () => Configuration;
  /** Settles keyed requests that must not run twice; without it they are refused. */
  readonly claims?: Claims;
  /** Signs cursors; the same on every instance of the deployment. */
  readonly cursorKey?: string;
}

/** Where a caller that returns wants its answer to go on. */
export interface ReturningCaller {
  readonly cursor: string;
  /** Tokens of the answer that the caller has. */
  readonly tokens: number;
  /** Their text, without which the answer can't go on at another engine. */
  readonly text: string | undefined;
}

export interface AnswerOptions {
  /** True while the caller does not read. */
  readonly held?: Observable<boolean>;
  readonly returning?: ReturningCaller;
  /** Told of the cursor and the generation of every attempt that is dispatched. */
  readonly cursor?: (cursor: string, generation: string) => void;
}

/** A returning caller's request was given to an engine before, whatever becomes of it now. */
function hasRun(refusal: Refusal, returning: ReturningCaller | undefined): Refusal {
  if (!returning) return refusal;
  return { ...refusal, ran: returning.tokens > 0 ? 'partly' : 'unknown' };
}

export class Gateway {
  readonly #context: GatewayContext;

  private constructor(context: GatewayContext) {
    const { directory, configuration } = context;
    const pacer = ResumePacer.of(() => (
      RESUMES_PER_ENGINE * directory.engines().filter(({ health }) => health === 'up').length));
    this.#context = {
      pacer,
      scheduler: monotonicScheduler,
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

  get log(): Log {
    return this.#context.log;
  }

  /** The workspace that a bearer key belongs to. */
  workspace(key: string): Workspace | undefined {
    const hash = sha256(key);
    return Object.values(this.configuration.workspaces)
      .find(({ keyHashes }) => keyHashes.includes(hash));
  }

  /** Lets a request in; what it refuses has not run. */
  admit(workspace: string, priority: GenerationRequest['priority']): Result<Admission, Refusal> {
    return this.#context.dispatcher.admit(workspace, priority)
      .mapErr((refusal) => this.#refused(refusal));
  }

  /** Admits the request and streams its answer; unsubscribing cancels it. */
  generate(request: GenerationRequest, options: AnswerOptions = {}): Observable<AnswerEvent> {
    return new Observable((subscriber) => {
      const admitted = this.#context.dispatcher.admit(request.workspace, request.priority);
      if (admitted.isErr()) {
        const refusal = this.#refused(hasRun(admitted.error, options.returning));
        subscriber.next({ kind: 'refusal', refusal });
        subscriber.complete();
        return undefined;
      }
      const answer = this.#claimed(request, options).subscribe(subscriber);
      return () => {
        answer.unsubscribe();
        admitted.value.release();
      };
    });
  }

  #refused(refusal: Refusal): Refusal {
    (this.#context.meter ?? silentMeter).refused(refusal.code);
    this.log.event('info', 'refuse', {
      code: refusal.code, ran: refusal.ran, reason: refusal.message,
    });
    return refusal;
  }

  /** Claims a keyed request that must not run twice; a returning caller's has been claimed. */
  #claimed(request: GenerationRequest, options: AnswerOptions): Observable<AnswerEvent> {
    const { idempotencyKey: key, repeat } = request;
    if (key === undefined || repeat === 'safe' || options.returning) {
      return this.#answer(request, options);
    }
    const { claims } = this.#context;
    return new Observable((subscriber) => {
      const answer = new Subscription();
      const refuse = (refusal: Refusal) => {
        subscriber.next({ kind: 'refusal', refusal: this.#refused(refusal) });
        subscriber.complete();
      };
      if (!claims) {
        refuse(refusalOf({ kind: 'unavailable', message: 'requests with a key are not served' }));
        return undefined;
      }
      const { workspace, id } = request;
      const bodyHash = request.bodyHash ?? requestDigest(request);
      claims.claim({
        workspace, key, bodyHash, request: id,
      }).then((outcome) => {
        if (outcome.kind !== 'granted') refuse(refusalOf(outcome));
        else if (answer.closed) claims.release(outcome.ref);
        else answer.add(this.#settling(outcome.ref, request, options).subscribe(subscriber));
      }, (error: unknown) => refuse(refusalOf({ kind: 'unavailable', message: String(error) })));
      return answer;
    });
  }

  /** The answer of a claimed request, which settles the claim when it ends. */
  #settling(
    ref: ClaimReference,
    request: GenerationRequest,
    options: AnswerOptions,
  ): Observable<AnswerEvent> {
    const claims = this.#context.claims!;
    return new Observable((subscriber) => {
      let given = false;
      let settled = false;
      const settle = (status: number | undefined) => {
        if (settled) return;
        settled = true;
        if (status === undefined) claims.release(ref);
        else claims.complete(ref, status);
      };
      const answer = this.#answer(request, options, () => {
        given = true;
      }).subscribe((event) => {
        if (event.kind === 'finish') settle(OK);
        if (event.kind === 'refusal') {
          settle(event.refusal.ran === 'no' ? undefined : statusOf(event.refusal));
        }
        subscriber.next(event);
        if (event.kind !== 'token') subscriber.complete();
      });
      return () => {
        answer.unsubscribe();
        // A caller that left before a backend server had its request may ask again.
        settle(given ? CALLER_GONE : undefined);
      };
    });
  }

  #answer(
    request: GenerationRequest,
    options: AnswerOptions,
    given: () => void = () => undefined,
  ): Observable<AnswerEvent> {
    const { cursorKey } = this.#context;
    const { returning, held, cursor } = options;
    const announce = (named: GenerationRequest) => (attempt: Attempt) => {
      given();
      if (cursorKey !== undefined) cursor?.(signCursor(named, attempt, cursorKey), named.id);
    };
    if (!returning) {
      return generate(request, this.#context, {
        backpressure: held, dispatched: announce(request),
      });
    }
    return new Observable((subscriber) => {
      const opened = verifyCursor(returning.cursor, request, cursorKey);
      if (opened.isErr()) {
        // A cursor that can't be read may still be that of a request which ran.
        const refusal = this.#refused(hasRun(opened.error, returning));
        subscriber.next({ kind: 'refusal', refusal });
        subscriber.complete();
        return undefined;
      }
      const {
        server, attempt, version, generation, seed,
      } = opened.value;
      const { tokens, text } = returning;
      this.log.event('info', 'return', {
        request: generation, server, attempt, tokens, text: text !== undefined,
      });
      const same = { ...request, id: generation, sampling: { ...request.sampling, seed } };
      return generate(same, this.#context, {
        backpressure: held,
        dispatched: announce(same),
        from: {
          server, attempt, version, tokens, text,
        },
      }).subscribe(subscriber);
    });
  }
}
