/**
 * Group commit for one shard: operations that arrive during a conditional update are batched into
 * the next one. Committers on several instances are safe, since the conditional update decides
 * between them; a single one, at the shard's home, only avoids the cost of conflicts.
 */
import { Subscription, timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { Random } from '../common/random.js';
import { backoffMs, pause } from '../store/backoff.js';
import type { ObjectApi, StoredObject, StoreError } from '../store/objects.js';
import { settledPut } from '../store/settle.js';
import type { Settlement } from '../store/settle.js';
import {
  applyAll, EMPTY_SHARD, encodeShard, parseShard, stampWrite,
} from './shard.js';
import type {
  CommitResult, ClaimOperation, Operation, Outcome, Shard,
} from './shard.js';

/** How long the outcome of an update is awaited before the shard is read again. */
const SETTLE_MS = 500;
/** Maximum age of a cached shard from which a key may be reported as taken. */
const MAX_CACHE_AGE_MS = 1_000;
/** How long a completion may wait to be committed together with a claim. */
const LINGER_MS = 500;
const MAX_BACKOFF_MS = 1_000;
const MIN_SPACING_MS = 50;
const MAX_SPACING_MS = 400;
const SPACING_DECAY = 0.9;

export interface CommitterContext {
  readonly api: ObjectApi;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  /** Milliseconds since 1970, for expiry. */
  readonly wallClock: () => number;
  /** Whether to cache the shard between updates. */
  readonly keepsCache: () => boolean;
}

/** Scheduler time, and the number of operations that were added before. */
interface Timestamp { readonly at: number; readonly sequence: number }

/** The shard as last read or written, and when that call was sent. */
interface CachedShard { readonly version: number; readonly shard: Shard; readonly sent: Timestamp }

interface PendingOperation {
  readonly operation: Operation;
  /**
   * Requires an update even if it changes nothing, so that an earlier one of unknown outcome can't
   * take effect later.
   */
  readonly forced: boolean;
  readonly added: Timestamp;
  readonly resolve: (answer: CommitResult) => void;
}

const TIMED_OUT = 'the claim could not be written in time';

export class Committer {
  readonly #name: string;

  readonly #context: CommitterContext;

  #queue: PendingOperation[] = [];

  /** Claims that timed out; nobody waits for them any more. */
  readonly #abandoned = new WeakSet<PendingOperation>();

  /** The operations in the current update. */
  #inFlight: readonly PendingOperation[] = [];

  /** Operations that an update of unknown outcome may have written or may still write. */
  readonly #uncertain = new WeakSet<PendingOperation>();

  #cached: CachedShard | undefined;

  #running = false;

  #linger = Subscription.EMPTY;

  #failures = 0;

  /** Pause between two updates, during which operations are batched. */
  #spacingMs = 0;

  #sequence = 0;

  private constructor(name: string, context: CommitterContext) {
    this.#name = name;
    this.#context = context;
  }

  /** @param name name of the shard's object in the store */
  static of(name: string, context: CommitterContext): Committer {
    return new Committer(name, context);
  }

  /** Commits a claim. After `withinMs` it is abandoned with the outcome `unavailable`. */
  claim(operation: ClaimOperation, timeoutMs: number): Promise<CommitResult> {
    return new Promise((resolve) => {
      const waiting = new Subscription();
      const pending = this.#add(operation, false, (answer) => {
        waiting.unsubscribe();
        resolve(answer);
      });
      waiting.add(timer(timeoutMs, this.#context.scheduler).subscribe(() => {
        this.#abandoned.add(pending);
        const open = this.#uncertain.has(pending) || this.#inFlight.includes(pending);
        resolve({ outcome: { kind: 'unavailable', message: TIMED_OUT }, open });
      }));
      this.#start();
    });
  }

  /**
   * Commits an operation that is not a claim, however long it takes. A release is forced: once it
   * is committed, no earlier update of this instance can restore the claim.
   */
  commit(operation: Operation): Promise<CommitResult> {
    return new Promise((resolve) => {
      this.#add(operation, operation.kind === 'release', resolve);
      if (operation.kind === 'release') this.#start();
      else this.#startLater();
    });
  }

  #add(
    operation: Operation,
    forced: boolean,
    resolve: (answer: CommitResult) => void,
  ): PendingOperation {
    this.#sequence += 1;
    const pending = {
      operation, forced, added: this.#timestamp(), resolve,
    };
    this.#queue.push(pending);
    return pending;
  }

  #startLater(): void {
    if (this.#running || !this.#linger.closed) return;
    this.#linger = timer(LINGER_MS, this.#context.scheduler).subscribe(() => this.#start());
  }

  #start(): void {
    if (this.#running) return;
    this.#linger.unsubscribe();
    this.#running = true;
    this.#run().then(() => {
      this.#running = false;
      if (!this.#context.keepsCache()) this.#cached = undefined;
    }, () => undefined);
  }

  async #run(): Promise<void> {
    /* eslint-disable no-await-in-loop -- one update after the other */
    while (this.#queue.length > 0) {
      const done = await this.#commitQueue().catch(() => this.#markUncertain());
      this.#failures = done ? 0 : this.#failures + 1;
      const delayMs = done ? this.#spacingMs : this.#backoffMs();
      if (delayMs > 0) await pause(delayMs, this.#context.scheduler);
      if (done) this.#spacingMs = Math.floor(this.#spacingMs * SPACING_DECAY);
    }
    /* eslint-enable no-await-in-loop */
  }

  /**
   * A refused write had no effect, so the cached shard stays valid except after a conflict. Updates
   * become less frequent while the store limits the rate of calls.
   */
  #handleRefusal({ code }: StoreError): void {
    if (code === 'conflict') this.#cached = undefined;
    if (code !== 'rate_limited' && code !== 'budget') return;
    this.#spacingMs = Math.min(MAX_SPACING_MS, Math.max(MIN_SPACING_MS, this.#spacingMs * 2));
  }

  /** Handles an update that ended in an exception and may have taken effect. */
  #markUncertain(): boolean {
    this.#inFlight.forEach((pending) => this.#uncertain.add(pending));
    this.#inFlight = [];
    this.#cached = undefined;
    return false;
  }

  #backoffMs(): number {
    return Math.min(MAX_BACKOFF_MS, backoffMs(this.#failures, this.#context.random));
  }

  /**
   * Commits the queue in one update; operations without an outcome stay queued. Resolves to false
   * when the store failed and the next update has to back off.
   */
  async #commitQueue(): Promise<boolean> {
    const { wallClock, scheduler, random } = this.#context;
    const cached = await this.#read();
    // Abandoned claims must not be written, as their callers were told `unavailable`.
    this.#queue = this.#queue.filter((pending) => !this.#abandoned.has(pending));
    if (!cached) return this.#queue.length === 0;
    const batch = [...this.#queue];
    const now = wallClock();
    const operations = batch.map(({ operation }) => operation);
    const { shard, outcomes } = applyAll(cached.shard, operations, now);
    if (shard === cached.shard && !batch.some(({ forced }) => forced)) {
      return this.#answerFrom(cached, batch, outcomes);
    }
    const writeId = random.identifier();
    const written = stampWrite(shard, writeId, now);
    const value = encodeShard(written);
    const sent = this.#timestamp();
    this.#inFlight = batch;
    const settlement = await settledPut(this.#context, {
      name: this.#name,
      value,
      expected: cached.version === 0
        ? { kind: 'absent' }
        : { kind: 'version', version: cached.version },
      callClass: 'claims',
      appearsIn: (text) => parseShard(text)
        .map(({ writes }) => writes.includes(writeId)).unwrapOr(false),
    }, scheduler.now() + SETTLE_MS);
    this.#inFlight = [];
    if (settlement.kind === 'applied') {
      const { object } = settlement;
      this.#cacheShard(object, sent, object.value === value ? written : undefined);
      this.#resolveBatch(batch, outcomes);
    }
    return this.#handleSettlement(settlement, sent, batch);
  }

  #handleSettlement(
    settlement: Settlement,
    sent: Timestamp,
    batch: readonly PendingOperation[],
  ): boolean {
    switch (settlement.kind) {
      case 'applied': return true;
      case 'superseded':
        this.#cacheShard(settlement.object, sent);
        return true;
      case 'refused':
        this.#handleRefusal(settlement.error);
        return false;
      case 'unsettled':
        batch.forEach((pending) => this.#uncertain.add(pending));
        this.#cached = undefined;
        return false;
    }
  }

  /** Answers without an update, or drops the cached shard if it is too old. */
  #answerFrom(
    cached: CachedShard,
    batch: readonly PendingOperation[],
    outcomes: readonly Outcome[],
  ): boolean {
    if (batch.some((pending) => Committer.#isStale(cached, pending))) this.#cached = undefined;
    else this.#resolveBatch(batch, outcomes);
    return true;
  }

  static #isStale({ sent }: CachedShard, { operation, added }: PendingOperation): boolean {
    return operation.kind === 'claim' && operation.fresh
      ? sent.sequence < added.sequence
      : sent.at < added.at - MAX_CACHE_AGE_MS;
  }

  #timestamp(): Timestamp {
    return { at: this.#context.scheduler.now(), sequence: this.#sequence };
  }

  #resolveBatch(batch: readonly PendingOperation[], outcomes: readonly Outcome[]): void {
    const finished = new Set(batch);
    this.#queue = this.#queue.filter((pending) => !finished.has(pending));
    batch.forEach((pending, index) => {
      if (this.#abandoned.has(pending)) return;
      pending.resolve({ outcome: outcomes[index]!, open: this.#uncertain.has(pending) });
    });
  }

  async #read(): Promise<CachedShard | undefined> {
    if (this.#cached) return this.#cached;
    const sent = this.#timestamp();
    const read = await this.#context.api.get(this.#name, 'claims');
    if (read.isOk()) return this.#cacheShard(read.value, sent);
    return read.error.code === 'not_found' ? this.#cacheShard(undefined, sent) : undefined;
  }

  /** A shard that can't be parsed is never overwritten, as its claims would be lost. */
  #cacheShard(
    object: StoredObject | undefined,
    sent: Timestamp,
    known?: Shard,
  ): CachedShard | undefined {
    const shard = known
      ?? (object ? parseShard(object.value).unwrapOr(undefined) : EMPTY_SHARD);
    this.#cached = shard && { version: object?.version ?? 0, shard, sent };
    return this.#cached;
  }
}
