/**
 * One shard of the ledger as an immutable value: the claims whose keys hash to it. Operations are
 * idempotent, since each claim carries its writer's nonce, so a batch whose write was lost or
 * superseded can be applied again to the shard that is stored now.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { NotGranted } from './claims.js';

/** Lifetime of a claim without a recorded end; longer than any request may run. */
const RUNNING_TTL_MS = 7_200_000;
/** Lifetime of a claim after its request ended, during which retries are recognised. */
const DONE_TTL_MS = 3_600_000;
/** A full shard refuses new claims, since claims are never evicted before they expire. */
const MAX_ENTRIES = 5_000;
const MAX_WRITE_IDS = 16;
const FORMAT = 1;

export interface ClaimEntry {
  readonly bodyHash: string;
  readonly nonce: string;
  /** The instance that was granted the claim. */
  readonly owner: string;
  readonly request: string;
  /** Milliseconds since 1970. */
  readonly expiresAt: number;
  /** HTTP status of the answer; 0 while the request runs. */
  readonly status: number;
}

export interface Shard {
  /** Entries by the digest of workspace and key. */
  readonly entries: ReadonlyMap<string, ClaimEntry>;
  /** Ids of the latest writes, newest first. */
  readonly writes: readonly string[];
}

/** An operation on a shard, committed at its home or by the instance itself. */
export type Operation =
  | {
    readonly kind: 'claim';
    readonly key: string;
    readonly bodyHash: string;
    readonly nonce: string;
    readonly owner: string;
    readonly request: string;
    /** Requires a read of the store after this operation for any outcome but a grant. */
    readonly fresh?: boolean;
  }
  | {
    readonly kind: 'complete';
    readonly key: string;
    readonly nonce: string;
    readonly status: number;
  }
  | { readonly kind: 'release'; readonly key: string; readonly nonce: string };

export type ClaimOperation = Extract<Operation, { kind: 'claim' }>;

/** Outcome of an operation; `applied` is that of operations other than claims. */
export type Outcome =
  | { readonly kind: 'granted' }
  | NotGranted
  | { readonly kind: 'applied' };

/**
 * Result of a commit. `open`: an update of unknown outcome may have written the claim or may still
 * write it, whatever `outcome` says; unless it was granted, the owner has to release it.
 */
export interface CommitResult { readonly outcome: Outcome; readonly open: boolean }

export const EMPTY_SHARD: Shard = { entries: new Map(), writes: [] };

export interface ShardUpdate { readonly shard: Shard; readonly outcome: Outcome }

function existingOutcome(entry: ClaimEntry, operation: ClaimOperation): Outcome {
  const { owner, request, status } = entry;
  if (entry.nonce === operation.nonce) return { kind: 'granted' };
  if (entry.bodyHash !== operation.bodyHash) return { kind: 'reused_key' };
  return status === 0
    ? { kind: 'running', owner, request }
    : {
      kind: 'done', owner, request, status,
    };
}

function claim(shard: Shard, operation: ClaimOperation, now: number): ShardUpdate {
  const entry = shard.entries.get(operation.key);
  if (entry && entry.expiresAt > now) return { shard, outcome: existingOutcome(entry, operation) };
  if (shard.entries.size >= MAX_ENTRIES) {
    return { shard, outcome: { kind: 'unavailable', message: 'the claim shard is full' } };
  }
  const {
    key, bodyHash, nonce, owner, request,
  } = operation;
  const entries = new Map(shard.entries).set(key, {
    bodyHash, nonce, owner, request, expiresAt: now + RUNNING_TTL_MS, status: 0,
  });
  return { shard: { ...shard, entries }, outcome: { kind: 'granted' } };
}

/** The shard after one operation; the same object when nothing changes. */
export function applyOperation(shard: Shard, operation: Operation, now: number): ShardUpdate {
  if (operation.kind === 'claim') return claim(shard, operation, now);
  const outcome: Outcome = { kind: 'applied' };
  const entry = shard.entries.get(operation.key);
  if (entry?.nonce !== operation.nonce) return { shard, outcome };
  const entries = new Map(shard.entries);
  if (operation.kind === 'release') {
    entries.delete(operation.key);
  } else if (entry.status === operation.status) {
    return { shard, outcome };
  } else {
    const { status } = operation;
    entries.set(operation.key, { ...entry, status, expiresAt: now + DONE_TTL_MS });
  }
  return { shard: { ...shard, entries }, outcome };
}

/** The shard after all operations in their order, and the outcome of each. */
export function applyAll(
  shard: Shard,
  operations: readonly Operation[],
  now: number,
): { readonly shard: Shard; readonly outcomes: readonly Outcome[] } {
  const outcomes: Outcome[] = [];
  const after = operations.reduce((before, operation) => {
    const change = applyOperation(before, operation, now);
    outcomes.push(change.outcome);
    return change.shard;
  }, shard);
  return { shard: after, outcomes };
}

/** The shard to write: without expired entries, and with the id of this write. */
export function stampWrite(shard: Shard, writeId: string, now: number): Shard {
  return {
    entries: new Map([...shard.entries].filter(([, entry]) => entry.expiresAt > now)),
    writes: [writeId, ...shard.writes].slice(0, MAX_WRITE_IDS),
  };
}

const storedShard = z.object({
  format: z.literal(FORMAT),
  writes: z.array(z.string()),
  entries: z.array(z.tuple([
    z.string(), z.string(), z.string(), z.string(), z.string(), z.number(), z.number(),
  ])),
});

export function encodeShard({ entries, writes }: Shard): string {
  const rows = [...entries].map(([key, entry]) => [
    key, entry.bodyHash, entry.nonce, entry.owner, entry.request, entry.expiresAt, entry.status,
  ]);
  return JSON.stringify({ format: FORMAT, writes, entries: rows });
}

/** Parses a stored shard; the error says why it is invalid. */
export function parseShard(text: string): Result<Shard, string> {
  try {
    const { writes, entries } = storedShard.parse(JSON.parse(text));
    const rows = entries.map(([key, bodyHash, nonce, owner, request, expiresAt, status]) => [key, {
      bodyHash, nonce, owner, request, expiresAt, status,
    }] as const);
    return ok({ entries: new Map(rows), writes });
  } catch (error) {
    return err(String(error));
  }
}
