/**
 * Assigns a backend server to each attempt: checks the workspace's limits, queues requests while
 * all eligible servers are at capacity, and chooses among the servers that have free slots. The
 * decisions are pure functions in the neighbouring modules; this class holds their state, performs
 * their effects and logs them.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Observable, Subscription } from 'rxjs';
import type { SchedulerLike, Subscriber } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import type { Refusal } from '../common/refusal.js';
import type { Configuration } from '../configuration/configuration.js';
import { EMPTY_CONFIGURATION } from '../configuration/defaults.js';
import type { Directory } from '../engines/directory.js';
import type { Admission } from '../limits/admission.js';
import type { QueueRefusal } from '../limits/queue.js';
import { deadlineOf } from '../limits/queuestate.js';
import type { Entry } from '../limits/queuestate.js';
import { RetryBudgets } from '../limits/retrybudget.js';
import { CacheFollower } from './cachefollower.js';
import { choose } from './choice.js';
import type { Choice, Chooser } from './choice.js';
import type {
  Assignment, AttemptOutcome, AssignmentRequest, Dispatcher,
} from './dispatcher.js';
import { DEFAULT_POOL, needKey, needOf } from './eligibility.js';
import type { Need } from './eligibility.js';
import { HoldTimes } from './holdtimes.js';
import { PrefixIndex } from './prefixindex.js';
import { Servers } from './servers.js';
import type { MatchResult } from './servers.js';
import type { RoutingCounts, RoutingSnapshot } from './snapshot.js';
import { logRoute } from './routelog.js';
import { queryOf, isUnserviceable, attemptKind } from './queuedrequest.js';
import type { AttemptKind, QueuedRequest } from './queuedrequest.js';
import { RequestQueue } from './requestqueue.js';

/** How long a resume waits when no server is eligible; other requests are refused at once. */
const NO_SERVER_WAIT_MS = 1_000;
const RETRY_AFTER_MS = 1_000;
const RETRY_AFTER_JITTER = 0.3;
const DEFAULT_WEIGHT = 1;

/** Admits or refuses requests; implemented by `WorkspaceLimiter`. */
export interface AdmissionControl {
  admit(workspace: string): Result<Admission, Refusal>;
}

export interface RouterContext {
  readonly directory: Directory;
  readonly configurations: Observable<Configuration>;
  readonly admissions: AdmissionControl;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
  /** Servers that other daemons have reported as leaving. */
  readonly leaving: () => ReadonlySet<string>;
  /** Number of live daemons that dispatch to the same servers, including this one. */
  readonly daemons: () => number;
  /** This daemon's availability zone. */
  readonly zone: string;
  /** Chooses among candidates; benchmarks replace it. Defaults to `choose`. */
  readonly choose?: Chooser;
}

/** An attempt that was dispatched to a server. */
interface Dispatch {
  readonly server: string;
  readonly pool: string;
  readonly version: string;
  readonly sentAt: number;
}

export class Router implements Dispatcher {
  readonly #context: RouterContext;

  readonly #prefixes = PrefixIndex.of();

  readonly #servers: Servers;

  readonly #budgets = RetryBudgets.of();

  readonly #queue: RequestQueue;

  readonly #holdTimes = HoldTimes.of();

  readonly #assigned: Record<AttemptKind, number> = { first: 0, retry: 0, resume: 0 };

  readonly #refused: Record<string, number> = {};

  #configuration = EMPTY_CONFIGURATION;

  #nextId = 0;

  private constructor(context: RouterContext) {
    this.#context = context;
    this.#servers = Servers.of(context, this.#prefixes);
    this.#queue = RequestQueue.of({
      scheduler: context.scheduler,
      limits: () => this.#configuration.limits,
      place: (queued) => this.#place(queued),
      refuse: (queued, refusal) => this.#refuseQueued(queued, refusal),
    });
  }

  static of(context: RouterContext): Router {
    return new Router(context);
  }

  /** Subscribes to the configuration and the engines' cache events until unsubscribed. */
  start(): Subscription {
    const running = new Subscription();
    running.add(this.#context.configurations.subscribe((configuration) => {
      this.#configuration = configuration;
      this.#servers.configured(configuration);
      this.#queue.drain();
    }));
    running.add(CacheFollower.of(this.#context, this.#prefixes).start());
    running.add(() => this.#queue.stop());
    return running;
  }

  get counts(): RoutingCounts {
    return { assigned: { ...this.#assigned }, refused: { ...this.#refused } };
  }

  snapshot(): RoutingSnapshot {
    return {
      queues: this.#queue.snapshot(),
      servers: this.#servers.snapshot(),
      prefixBlocks: this.#prefixes.blocks,
    };
  }

  admit(workspace: string): Result<Admission, Refusal> {
    return this.#context.admissions.admit(workspace);
  }

  assign(request: AssignmentRequest): Observable<Result<Assignment, Refusal>> {
    return new Observable((subscriber) => {
      const need = needOf(request, this.#configuration);
      if (!need) {
        this.#refuse(request, subscriber, 'not_found', 'no such model or service');
        return undefined;
      }
      if (!this.#mayRetry(request)) {
        this.#refuse(request, subscriber, 'overloaded', 'too many retries in the pool');
        return undefined;
      }
      const queued = this.#queuedRequest(request, need, subscriber);
      this.#queue.enter(queued);
      return () => this.#queue.leave(queued);
    });
  }

  get #now(): number {
    return this.#context.scheduler.now();
  }

  /** The pool of the last server tried, whose budget a retry is charged to. */
  #triedPool({ exclude }: AssignmentRequest): string {
    return this.#configuration.servers[exclude.at(-1) ?? '']?.pool ?? '';
  }

  #mayRetry(request: AssignmentRequest): boolean {
    return attemptKind(request) !== 'retry'
      || this.#budgets.mayRetry(this.#triedPool(request), this.#now);
  }

  #queuedRequest(
    request: AssignmentRequest,
    need: Need,
    subscriber: Subscriber<Result<Assignment, Refusal>>,
  ): QueuedRequest {
    const {
      workspace, priority, resume, exclude, waitedMs = 0,
    } = request;
    const key = needKey(need);
    const id = this.#nextId;
    this.#nextId += 1;
    const entry: Entry = {
      id,
      workspace,
      weight: this.#configuration.workspaces[workspace]?.weight ?? DEFAULT_WEIGHT,
      priority,
      resume,
      key,
      cost: this.#holdTimes.expected(workspace, priority),
      enteredAt: this.#now,
      deadline: deadlineOf(priority, resume, this.#now - waitedMs, this.#configuration.limits),
    };
    const group = exclude.length > 0 ? `${id}` : `${priority} ${resume} ${key}`;
    return {
      entry, request, query: queryOf(request, need), group, subscriber,
    };
  }

  /** Sends the caller a refusal that the queue decided on. */
  #refuseQueued(
    { request, subscriber }: QueuedRequest,
    { cause, retryAfterMs }: QueueRefusal,
  ): void {
    const message = cause === 'overloaded' ? 'the queue is full' : 'no server had room in time';
    this.#refuse(request, subscriber, cause, message, retryAfterMs);
  }

  /** Dispatches the request if a server has capacity, or refuses it if no server can take it. */
  #place(queued: QueuedRequest): 'done' | 'waits' {
    const { entry, request, query } = queued;
    const now = this.#now;
    const match = this.#servers.match(query, this.#configuration, now);
    if (match.candidates.length > 0) {
      const { favour } = this.#configuration.deployment;
      const { zone, random } = this.#context;
      const chooser = this.#context.choose ?? choose;
      this.#dispatch(queued, match, chooser(match.candidates, { zone, favour }, random));
      return 'done';
    }
    const mayWait = entry.resume && !match.excluded.tried
      && now - entry.enteredAt < NO_SERVER_WAIT_MS;
    if (!isUnserviceable(match) || mayWait) return 'waits';
    this.#queue.leave(queued);
    this.#refuse(request, queued.subscriber, 'unavailable', 'no server can take the request');
    return 'done';
  }

  #dispatch(queued: QueuedRequest, match: MatchResult, choice: Choice): void {
    const { request, query } = queued;
    const { candidate } = choice.chosen;
    const { log } = this.#context;
    const now = this.#now;
    const kind = attemptKind(request);
    const pool = this.#configuration.servers[candidate.server]?.pool ?? '';
    this.#queue.placed(queued);
    this.#servers.dispatched(query, candidate, now);
    if (request.priority === 'interactive') this.#servers.interactiveChanged(pool, 1, now);
    this.#assigned[kind] += 1;
    const { retryRatio } = this.#configuration.pools[pool] ?? DEFAULT_POOL;
    if (kind === 'first') this.#budgets.earn(pool, retryRatio, now);
    if (kind === 'retry') this.#budgets.spend(pool, now);
    logRoute(log, queued, match, choice, now);
    queued.subscriber.next(ok(this.#assignment(request, {
      server: candidate.server, version: candidate.version, pool, sentAt: now,
    })));
    queued.subscriber.complete();
  }

  #assignment(request: AssignmentRequest, sent: Dispatch): Assignment {
    const { server, version } = sent;
    let held = true;
    return {
      server,
      version,
      release: (outcome) => {
        if (!held) return;
        held = false;
        this.#release(request, sent, outcome);
      },
    };
  }

  #release(
    request: AssignmentRequest,
    { server, pool, sentAt }: Dispatch,
    outcome: AttemptOutcome,
  ): void {
    const now = this.#now;
    if (request.priority === 'interactive') this.#servers.interactiveChanged(pool, -1, now);
    if (outcome === 'answered') {
      this.#holdTimes.observe(request.workspace, request.priority, now - sentAt);
    }
    if (this.#servers.released(server, outcome, now)) {
      this.#context.log.event('warn', 'breaker_opened', { server });
    }
    this.#queue.drain();
  }

  #refuse(
    { requestId, workspace, priority }: AssignmentRequest,
    subscriber: Subscriber<Result<Assignment, Refusal>>,
    code: 'not_found' | 'overloaded' | 'unavailable' | 'queue_timeout',
    message: string,
    afterMs = RETRY_AFTER_MS,
  ): void {
    const { random, log } = this.#context;
    const retryAfterMs = Math.round(
      random.jitter(Math.max(RETRY_AFTER_MS, afterMs), RETRY_AFTER_JITTER),
    );
    this.#refused[code] = (this.#refused[code] ?? 0) + 1;
    log.event('info', 'route_refused', {
      request: requestId, workspace, priority, code, reason: message, retry_after_ms: retryAfterMs,
    });
    subscriber.next(err({
      code, message, ran: 'no', retryAfterMs,
    }));
    subscriber.complete();
  }
}
