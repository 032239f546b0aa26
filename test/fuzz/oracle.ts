/**
 * Checks what callers and backend servers observed against the promises to users. It does not
 * depend on the implementation: it reads requests, answers and the engines' attempts and orders,
 * but no state of a daemon.
 */
import type { Configuration } from '../../src/configuration/configuration.js';
import type { Input } from '../../src/engines/engine.js';
import { inputText } from '../../src/engines/prefix.js';
import type { AnswerEvent, GenerationRequest } from '../../src/generation/request.js';
import type { StartedAttempt } from '../../src/standin/engine.js';
import type { ReceivedOrder } from '../../src/standin/enginemodels.js';
import { answerLength, firstInvalidToken } from '../../src/standin/tokens.js';

/** Longest wait of a caller for the next token or a refusal, besides queueing. */
export const WAIT_BOUND_MS = 6_000;
/** How long a leaving server may be sent new work, including 1 s for reports and messages. */
export const LEAVING_BOUND_MS = 3_000;

type Outcome =
  | { readonly kind: 'open' }
  | { readonly kind: 'answered' }
  | { readonly kind: 'refused'; readonly ran: string }
  /** The caller disconnected, or its daemon ended. */
  | { readonly kind: 'cut'; readonly by: 'caller' | 'daemon' };

/** A request and its answer so far, as its caller observes them. */
export interface Call {
  readonly request: GenerationRequest;
  readonly daemon: string;
  /** The caller's own name for the request; retries of one key share it. */
  readonly name: string;
  text: string;
  tokens: number;
  lastAt: number;
  outcome: Outcome;
}

function sameInput(left: Input, right: Input): boolean {
  return inputText(left) === inputText(right);
}

/** Ends an open call whose caller gets no end of the answer. */
export function endCall(call: Call, by: 'caller' | 'daemon'): void {
  const target = call;
  if (call.outcome.kind === 'open') target.outcome = { kind: 'cut', by };
}

export class Oracle {
  readonly violations: string[] = [];

  readonly calls: Call[] = [];

  readonly #now: () => number;

  readonly #configuration: Configuration;

  /** When the last fault began or ended; waits are measured from then on. */
  #lastDisturbanceAt = 0;

  readonly #leavingAt = new Map<string, number>();

  /** Versions of the models that engines have loaded. */
  readonly #versions: readonly string[];

  private constructor(
    now: () => number,
    configuration: Configuration,
    versions: readonly string[],
  ) {
    this.#now = now;
    this.#configuration = configuration;
    this.#versions = versions;
  }

  static of(
    now: () => number,
    configuration: Configuration,
    versions: readonly string[],
  ): Oracle {
    return new Oracle(now, configuration, versions);
  }

  get open(): readonly Call[] {
    return this.calls.filter(({ outcome }) => outcome.kind === 'open');
  }

  recordDisturbance(): void {
    this.#lastDisturbanceAt = this.#now();
  }

  /** The server must get no new work from now on. */
  serverLeaving(server: string): void {
    if (!this.#leavingAt.has(server)) this.#leavingAt.set(server, this.#now());
  }

  serverReturned(server: string): void {
    this.#leavingAt.delete(server);
  }

  /** Checks an attempt that a daemon dispatched to the server. */
  checkDispatch(server: string, informed: boolean): void {
    const since = this.#leavingAt.get(server);
    if (since === undefined || !informed) return;
    const lateMs = this.#now() - since;
    if (lateMs > LEAVING_BOUND_MS) this.report(`${server}, leaving, got work after ${lateMs} ms`);
  }

  /** @param before the interrupted call that the caller returns for, with its partial answer */
  addCall(daemon: string, name: string, request: GenerationRequest, before?: Call): Call {
    const call: Call = {
      request,
      daemon,
      name,
      text: before?.text ?? '',
      tokens: before?.tokens ?? 0,
      lastAt: this.#now(),
      outcome: { kind: 'open' },
    };
    this.calls.push(call);
    return call;
  }

  recordEvent(call: Call, event: AnswerEvent): void {
    const target = call;
    if (call.outcome.kind === 'cut') return;
    if (call.outcome.kind !== 'open') this.#report(call, `${event.kind} after the end`);
    target.lastAt = this.#now();
    switch (event.kind) {
      case 'token':
        if (event.position !== call.tokens) this.#report(call, `token at ${event.position}`);
        target.text += event.text;
        target.tokens += 1;
        break;
      case 'finish':
        target.outcome = { kind: 'answered' };
        this.#checkComplete(call, event.tokens);
        break;
      case 'refusal':
        target.outcome = { kind: 'refused', ran: event.refusal.ran };
        if (call.tokens > 0 && event.refusal.ran === 'no') {
          this.#report(call, 'says that it was not run after tokens');
        }
        break;
    }
    if (this.#invalidAt(call) !== -1) this.#report(call, `bad token at ${this.#invalidAt(call)}`);
  }

  /** @param waits whether the call's daemon is running, so that its caller may expect progress */
  checkWaits(waits: (call: Call) => boolean): void {
    const now = this.#now();
    this.open.filter(waits).forEach((call) => {
      const { queueWaitMs } = this.#configuration.limits;
      const since = Math.max(call.lastAt, this.#lastDisturbanceAt);
      const bound = WAIT_BOUND_MS + queueWaitMs[call.request.priority];
      if (now - since > bound) this.#report(call, `waited more than ${bound} ms`);
    });
  }

  /** Checks the attempts that engines started, after all requests have ended. */
  checkRuns(attempts: readonly StartedAttempt[]): void {
    this.calls.forEach((call) => {
      const runs = attempts.filter(({ request }) => request.generation === call.request.id);
      if (call.outcome.kind === 'refused' && call.outcome.ran === 'no' && runs.length > 0) {
        this.#report(call, `told "not run" and begun ${runs.length} times`);
      }
      const { idempotencyKey: key } = call.request;
      const same = key === undefined ? runs : attempts
        .filter(({ request }) => request.model === call.request.model
          && sameInput(request.input, call.request.input));
      const fromStart = same.filter(({ request, stream }) => (
        request.accepted.tokens === 0 && stream.position > 0));
      if (call.request.repeat === 'never' && fromStart.length > 1) {
        this.#report(call, `run ${fromStart.length} times`);
      }
      if (call.outcome.kind === 'open') this.#report(call, 'never ended');
    });
  }

  /** Checks that an engine accepted no order of an earlier lease holder after a later one's. */
  checkOrders(engine: string, orders: readonly ReceivedOrder[]): void {
    const accepted = orders.filter(({ outcome }) => outcome === 'accepted');
    accepted.forEach(({ fence, order }, index) => {
      const later = accepted.slice(0, index).find((before) => before.fence > fence);
      if (later) this.report(`${engine} obeyed ${order.kind} of ${fence} after ${later.fence}`);
    });
  }

  report(what: string): void {
    if (!this.violations.includes(what)) this.violations.push(what);
  }

  #report({ name, request }: Call, what: string): void {
    this.report(`${name} (${request.model}, ${request.repeat}): ${what}`);
  }

  #invalidAt(call: Call): number {
    return Math.min(...this.#versions
      .map((version) => firstInvalidToken({ ...call.request, version }, call.text)));
  }

  #checkComplete(call: Call, reported: number): void {
    const complete = this.#versions.some((version) => {
      const length = answerLength({ ...call.request, version });
      return call.tokens === length && reported === length
        && firstInvalidToken({ ...call.request, version }, call.text) === -1;
    });
    if (!complete) {
      this.#report(call, `ended with ${call.tokens} tokens, told ${reported}`);
    }
  }
}
