/**
 * Enforces the workspaces' limits, and exchanges shares of these limits with the other daemons. The
 * decisions are in `workspace.ts` and `shares.ts`; this class holds their state.
 */
import { isDeepStrictEqual } from 'node:util';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Subscription, timer } from 'rxjs';
import type { Observable, SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import type { Refusal } from '../common/refusal.js';
import type { Configuration, Workspace } from '../configuration/configuration.js';
import {
  effectiveShare, shareState, shareTransaction,
} from './shares.js';
import type { LimitUsage, ShareRow, ShareState } from './shares.js';
import {
  admitRequest, concurrencyPart, DEMAND_WINDOW_MS, usageOf, requestEnded, windowEnded,
  workspaceState,
} from './workspace.js';
import type { LimitCause, Parts, WorkspaceState } from './workspace.js';

const RETRY_AFTER_JITTER = 0.3;
const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 60_000;

/** An admitted request; `release` frees its concurrency slot, and later calls have no effect. */
export interface Admission {
  release(): void;
}

/** Exchanges shares between the daemons over the membership's shared state. */
export interface ShareExchange {
  /** Rows received from other instances; repeated and outdated rows have no effect. */
  readonly rows: Observable<readonly ShareRow[]>;
  /** Instances that may be serving: alive according to heartbeats, or in the platform's list. */
  members(): readonly string[];
  /** Instances that heartbeats are received from. */
  reachable(): readonly string[];
  publish(row: ShareRow): void;
}

export interface AdmissionContext {
  readonly name: string;
  /** Increases with each start of the daemon. */
  readonly incarnation: number;
  readonly configuration: () => Configuration;
  readonly exchange: ShareExchange;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
}

export interface WorkspaceSnapshot {
  readonly workspace: string;
  readonly running: number;
  readonly concurrency: number;
  /** Fractions of the fleet-wide limits that this daemon may use. */
  readonly parts: Parts;
  readonly limited: Readonly<Record<LimitCause, number>>;
}

export class WorkspaceLimiter {
  readonly #context: AdmissionContext;

  readonly #states = new Map<string, WorkspaceState>();

  readonly #limited = new Map<string, Record<LimitCause, number>>();

  #shares: ShareState;

  #published: ShareRow | undefined;

  private constructor(context: AdmissionContext) {
    this.#context = context;
    this.#shares = shareState(context.name, context.incarnation, context.scheduler.now());
  }

  static of(context: AdmissionContext): WorkspaceLimiter {
    return new WorkspaceLimiter(context);
  }

  /** Exchanges shares until unsubscribed. */
  start(): Subscription {
    const { exchange, scheduler } = this.#context;
    const running = new Subscription();
    running.add(exchange.rows.subscribe((rows) => rows.forEach((row) => {
      this.#shares = shareTransaction(this.#shares, { kind: 'row', row, now: scheduler.now() });
    })));
    running.add(timer(0, DEMAND_WINDOW_MS, scheduler).subscribe(() => this.#tick()));
    return running;
  }

  admit(name: string): Result<Admission, Refusal> {
    const workspace = this.#context.configuration().workspaces[name];
    if (!workspace) {
      return err({ code: 'unauthorized', message: 'no such workspace', ran: 'no' });
    }
    const now = this.#context.scheduler.now();
    const parts = this.#parts(name, now);
    const before = this.#states.get(name) ?? workspaceState(workspace, parts, now);
    const decision = admitRequest(before, workspace, parts, now);
    this.#states.set(name, decision.state);
    switch (decision.kind) {
      case 'admitted': return ok(this.#admission(name));
      case 'limited': return err(this.#refusal(name, decision.cause, decision.retryAfterMs));
    }
  }

  snapshot(): readonly WorkspaceSnapshot[] {
    const now = this.#context.scheduler.now();
    return Object.values(this.#context.configuration().workspaces).map((workspace) => {
      const parts = this.#parts(workspace.name, now);
      return {
        workspace: workspace.name,
        running: this.#states.get(workspace.name)?.running ?? 0,
        concurrency: concurrencyPart(workspace, parts),
        parts,
        limited: { rate: 0, concurrency: 0, ...this.#limited.get(workspace.name) },
      };
    });
  }

  #parts(name: string, now: number): Parts {
    return {
      rate: effectiveShare(this.#shares, `${name}/rate`, now),
      concurrency: effectiveShare(this.#shares, `${name}/concurrency`, now),
    };
  }

  #admission(name: string): Admission {
    let active = true;
    return {
      release: () => {
        const state = this.#states.get(name);
        if (!active || !state) return;
        active = false;
        this.#states.set(name, requestEnded(state));
      },
    };
  }

  #refusal(workspace: string, cause: LimitCause, waitMs: number): Refusal {
    const { random, log } = this.#context;
    const limited = this.#limited.get(workspace) ?? { rate: 0, concurrency: 0 };
    this.#limited.set(workspace, { ...limited, [cause]: limited[cause] + 1 });
    const bounded = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
    const retryAfterMs = Math.round(random.jitter(bounded, RETRY_AFTER_JITTER));
    log.event('info', 'admission_refused', { workspace, cause, retry_after_ms: retryAfterMs });
    return {
      code: 'rate_limited',
      message: `the workspace is over its ${cause} limit`,
      ran: 'no',
      retryAfterMs,
    };
  }

  #tick(): void {
    const { exchange, scheduler } = this.#context;
    const now = scheduler.now();
    const { workspaces } = this.#context.configuration();
    this.#dropUnconfigured(workspaces);
    const needs = Object.fromEntries(Object.values(workspaces)
      .flatMap((workspace) => this.#windowUsage(workspace)));
    this.#shares = shareTransaction(this.#shares, {
      kind: 'members', members: exchange.members(), reachable: exchange.reachable(), now,
    });
    this.#shares = shareTransaction(this.#shares, { kind: 'tick', needs, now });
    const { row } = this.#shares;
    if (isDeepStrictEqual(row, this.#published)) return;
    if (row.version !== this.#published?.version) this.#logShares();
    this.#published = row;
    exchange.publish(row);
  }

  #windowUsage(workspace: Workspace): readonly (readonly [string, LimitUsage])[] {
    const { name } = workspace;
    const now = this.#context.scheduler.now();
    const before = this.#states.get(name) ?? workspaceState(workspace, this.#parts(name, now), now);
    const state = windowEnded(before);
    this.#states.set(name, state);
    const { rate, concurrency } = usageOf(state, workspace);
    return [[`${name}/rate`, rate], [`${name}/concurrency`, concurrency]];
  }

  #dropUnconfigured(workspaces: Readonly<Record<string, Workspace>>): void {
    this.#states.forEach(({ running }, name) => {
      if (!workspaces[name] && running === 0) this.#states.delete(name);
    });
  }

  #logShares(): void {
    const { claims, version } = this.#shares.row;
    this.#context.log.event('debug', 'shares', {
      version,
      holds: Object.entries(claims).map(([key, { hold }]) => `${key}:${hold.toFixed(2)}`),
    });
  }
}
