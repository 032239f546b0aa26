/**
 * One instance's part of the at-most-once ledger. Keys are hashed to shards, and each shard has a
 * home, the live instance that comes first for it in rendezvous hashing. A claim is forwarded to
 * the home, which batches the claims of all instances. The home is only an optimisation: when it
 * does not answer, the claim is committed from here with the same nonce, and the store's
 * conditional update decides.
 */
import { defer, lastValueFrom, timeout } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import { hash32, rendezvousOrder, sha256 } from '../common/hash.js';
import type { Random } from '../common/random.js';
import type { ObjectApi } from '../store/objects.js';
import { CLAIM_DEADLINE_MS } from './claims.js';
import type {
  ClaimOutcome, ClaimReference, ClaimRequest, Claims,
} from './claims.js';
import { Committer } from './committer.js';
import type {
  CommitResult, ClaimOperation, Operation, Outcome,
} from './shard.js';

const SHARDS = 64;
/** How long to wait for a home; the rest of a claim's time is left for an update from here. */
export const FORWARD_DEADLINE_MS = 1_500;
/** Below `FORWARD_DEADLINE_MS`, so that a home that can't write still answers in time. */
const HOME_DEADLINE_MS = 1_300;
const KEY_CHARS = 22;
const NONCE_CHARS = 16;
/** Number of abandoned claims that are remembered, for `disown`. */
const MAX_ABANDONED = 10_000;
/** Releases that may wait for the store; further ones are written when a retry asks. */
const MAX_PENDING_RELEASES = 1_000;

/** Calls to the ledgers of other instances. */
export interface LedgerPeers {
  /**
   * Sends an operation to the home of its shard. Rejects when the home does not answer; it may
   * have committed the operation nevertheless.
   */
  forward(home: string, operation: Operation): Promise<CommitResult>;

  /** Asks a claim's owner to `disown` a request that it never dispatched. */
  disown(owner: string, request: string): Promise<boolean>;
}

export interface LedgerContext {
  /** This instance's name. */
  readonly name: string;
  readonly api: ObjectApi;
  readonly peers: LedgerPeers;
  /** Names of the live instances, this one among them. */
  readonly members: () => readonly string[];
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  /** Milliseconds since 1970. */
  readonly wallClock: () => number;
}

/** Digest of a workspace and its key. */
function keyOf({ workspace, key }: { readonly workspace: string; readonly key: string }): string {
  return sha256(`${workspace}\n${key}`).slice(0, KEY_CHARS);
}

function releaseOf(ref: ClaimReference): Operation {
  return { kind: 'release', key: keyOf(ref), nonce: ref.nonce };
}

function shardOf(key: string): number {
  return hash32(key) % SHARDS;
}

function sameNames(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((name, index) => name === right[index]);
}

/** Homes of shards for one list of members, computed on demand. */
interface HomeCache {
  readonly members: readonly string[];
  readonly names: Map<number, string>;
}

export class ClaimLedger implements Claims {
  readonly #context: LedgerContext;

  readonly #committers = new Map<number, Committer>();

  /** Claims of requests that were not and will not be dispatched, by request. */
  readonly #abandoned = new Map<string, ClaimReference>();

  /** Releases that wait for the store. */
  #pendingReleases = 0;

  #homes: HomeCache = { members: [], names: new Map() };

  private constructor(context: LedgerContext) {
    this.#context = context;
  }

  static of(context: LedgerContext): ClaimLedger {
    return new ClaimLedger(context);
  }

  /** Fraction, 0 to 1, of the shards whose home is this instance; sizes its call budget. */
  get homeShare(): number {
    const shards = Array.from({ length: SHARDS }, (_, shard) => shard);
    return shards.filter((shard) => this.#isHome(shard)).length / SHARDS;
  }

  async claim(request: ClaimRequest): Promise<ClaimOutcome> {
    const { scheduler, random } = this.#context;
    const deadline = scheduler.now() + CLAIM_DEADLINE_MS;
    const nonce = random.identifier().slice(0, NONCE_CHARS);
    const { workspace, key, request: id } = request;
    const ref = {
      workspace, key, nonce, request: id,
    };
    const operation = this.#operationOf(ref, request.bodyHash);
    let attempt = await this.#commitClaim(operation, deadline);
    let { open } = attempt;
    if (await this.#isDisowned(attempt.outcome, deadline)) {
      attempt = await this.#commitClaim({ ...operation, fresh: true }, deadline);
      open ||= attempt.open;
    }
    // A home that did not answer may still write the claim, whatever the outcome here.
    if (open && attempt.outcome.kind !== 'granted') this.#abandon(ref);
    return ClaimLedger.#outcomeOf(attempt.outcome, ref);
  }

  complete(ref: ClaimReference, status: number): void {
    this.#commit({
      kind: 'complete', key: keyOf(ref), nonce: ref.nonce, status,
    }).catch(() => undefined);
  }

  release(ref: ClaimReference): void {
    this.#remember(ref);
    this.#commit(releaseOf(ref)).catch(() => undefined);
  }

  /** Commits an operation that another instance forwarded to this one as the home. */
  commitForwarded(operation: Operation): Promise<CommitResult> {
    return operation.kind === 'claim'
      ? this.#committer(operation.key).claim(operation, HOME_DEADLINE_MS)
      : this.#committer(operation.key).commit(operation);
  }

  /**
   * Whether `request` abandoned a claim here and was never dispatched. If so, the claim has been
   * released, in case it was written after all.
   */
  async disown(request: string): Promise<boolean> {
    const ref = this.#abandoned.get(request);
    if (!ref) return false;
    await this.#commit(releaseOf(ref));
    return true;
  }

  #operationOf(ref: ClaimReference, bodyHash: string): ClaimOperation {
    const { nonce, request } = ref;
    return {
      kind: 'claim', key: keyOf(ref), bodyHash, nonce, owner: this.#context.name, request,
    };
  }

  /** Commits a claim through its home, or from here if the home does not answer. */
  async #commitClaim(operation: ClaimOperation, deadline: number): Promise<CommitResult> {
    const timeoutMs = () => Math.max(0, deadline - this.#context.scheduler.now());
    const committer = this.#committer(operation.key);
    if (this.#isHome(shardOf(operation.key))) return committer.claim(operation, timeoutMs());
    const forwarded = await this.#forward(operation, timeoutMs());
    // If the home can't write in time, the store is unavailable or busy; don't add a writer.
    if (forwarded) return forwarded;
    const { outcome } = await committer.claim(operation, timeoutMs());
    return { outcome, open: true };
  }

  static #outcomeOf(outcome: Outcome, ref: ClaimReference): ClaimOutcome {
    switch (outcome.kind) {
      case 'granted': return { kind: 'granted', ref };
      case 'unavailable': return { kind: 'unavailable', message: outcome.message };
      case 'applied': return { kind: 'unavailable', message: 'the claim was not handled as one' };
      case 'running':
      case 'done':
      case 'reused_key':
        return outcome;
    }
  }

  /** Releases the claim of a refused request, which may have been written or may still be. */
  #abandon(ref: ClaimReference): void {
    this.#remember(ref);
    if (this.#pendingReleases >= MAX_PENDING_RELEASES) return;
    this.#pendingReleases += 1;
    this.#commit(releaseOf(ref)).finally(() => {
      this.#pendingReleases -= 1;
    }).catch(() => undefined);
  }

  #remember(ref: ClaimReference): void {
    this.#abandoned.set(ref.request, ref);
    const oldest = this.#abandoned.keys().next();
    if (this.#abandoned.size > MAX_ABANDONED && !oldest.done) this.#abandoned.delete(oldest.value);
  }

  /** Whether the key is held by a claim that its owner has abandoned. */
  async #isDisowned(outcome: Outcome, deadline: number): Promise<boolean> {
    if (outcome.kind !== 'running') return false;
    const { name, peers, scheduler } = this.#context;
    const { owner, request } = outcome;
    const askOwner = () => (owner === name ? this.disown(request) : peers.disown(owner, request));
    const deadlineMs = Math.min(FORWARD_DEADLINE_MS, deadline - scheduler.now());
    return await this.#withDeadline(askOwner, deadlineMs) ?? false;
  }

  /** The home's answer; undefined when there is none. */
  #forward(operation: Operation, withinMs: number): Promise<CommitResult | undefined> {
    const home = this.#homeOf(shardOf(operation.key));
    const send = () => this.#context.peers.forward(home, operation);
    return this.#withDeadline(send, Math.min(withinMs, FORWARD_DEADLINE_MS));
  }

  /** The call's result; undefined when it fails or exceeds the deadline. */
  #withDeadline<Value>(
    call: () => Promise<Value>,
    deadlineMs: number,
  ): Promise<Value | undefined> {
    const { scheduler } = this.#context;
    const calling = defer(call).pipe(timeout({ first: Math.max(0, deadlineMs), scheduler }));
    return lastValueFrom(calling).catch(() => undefined);
  }

  /** Commits through the home, or from here if it does not answer, however long that takes. */
  async #commit(operation: Operation): Promise<CommitResult> {
    const commitLocally = () => this.#committer(operation.key).commit(operation);
    if (this.#isHome(shardOf(operation.key))) return commitLocally();
    return await this.#forward(operation, FORWARD_DEADLINE_MS) ?? commitLocally();
  }

  #homeOf(shard: number): string {
    const members = this.#context.members();
    if (!sameNames(members, this.#homes.members)) this.#homes = { members, names: new Map() };
    const { names } = this.#homes;
    const home = names.get(shard)
      ?? rendezvousOrder(ClaimLedger.#objectName(shard), members)[0] ?? this.#context.name;
    names.set(shard, home);
    return home;
  }

  #isHome(shard: number): boolean {
    return this.#homeOf(shard) === this.#context.name;
  }

  #committer(key: string): Committer {
    const shard = shardOf(key);
    const known = this.#committers.get(shard);
    if (known) return known;
    const committer = Committer.of(ClaimLedger.#objectName(shard), {
      ...this.#context, keepsCache: () => this.#isHome(shard),
    });
    this.#committers.set(shard, committer);
    return committer;
  }

  /** Includes the number of shards, since another number maps keys to other shards. */
  static #objectName(shard: number): string {
    return `claims-${SHARDS}/${shard}`;
  }
}
