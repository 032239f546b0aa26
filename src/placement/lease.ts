/**
 * The placement lease as a pure state machine: one record in the object API, changed only by
 * conditional update, which any instance may acquire once it has expired.
 *
 * The holder measures its time from before the write was sent, by whichever of the monotonic and
 * the wall clock shows more elapsed, and stops a safety margin early. A contender waits until the
 * record has been unchanged for its whole duration since the contender first saw it, by the
 * monotonic clock alone, plus a margin. The record's version is the fencing token. A write whose
 * response is lost is confirmed when a read returns its nonce, immediately or later.
 */
import type { Precondition } from '../store/objects.js';
import type { HeldLease, Lease, LeaseWrite } from './leasestate.js';
import { elapsedMs, parseRecord } from './leaseevents.js';
import type {
  Instant, LeaseEffect, LeaseEvent, LeaseRecord, ReadOutcome,
} from './leaseevents.js';

/** The maximum drift between two clocks, as a fraction of the measured time. */
const DRIFT = 0.1;
/** The holder renews, and candidates read, after this fraction of the duration. */
const RENEW_AFTER = 0.4;
/** Instances that aren't candidates read at intervals of this many durations. */
const IDLE_DURATIONS = 4;
/** The base of the exponential backoff after failed calls, as a fraction of the duration. */
const INITIAL_BACKOFF = 0.02;
const MAX_BACKOFF_DOUBLINGS = 4;

export interface LeaseTransaction {
  readonly lease: Lease;
  readonly effects: readonly LeaseEffect[];
}

/** What the lease permits its holder now. */
export interface LeaseGrant {
  readonly fence: number;
  /** Time left, by whichever of this instance's clocks shows less. */
  readonly remainingMs: number;
  /** How long after it was sent an order may still take effect. */
  readonly orderMs: number;
  /** Monotonic time from which no earlier holder's order can take effect. */
  readonly earlierOrdersExpireAt: number;
  /** Whether that time has passed. */
  readonly earlierOrdersExpired: boolean;
}

/** Time left of a lease that was written at `since`. */
function remainingMs(durationMs: number, since: Instant, at: Instant): number {
  return durationMs * (1 - DRIFT) - elapsedMs(since, at);
}

/** This instance's grant at `at`; undefined when it must not send any order. */
export function grantAt(lease: Lease, at: Instant): LeaseGrant | undefined {
  const { held } = lease;
  if (!held || lease.unverified) return undefined;
  const left = remainingMs(held.durationMs, held.since, at);
  if (left <= 0) return undefined;
  return {
    fence: held.version,
    remainingMs: left,
    orderMs: held.orderMs,
    earlierOrdersExpireAt: lease.earlierOrdersExpireAt,
    earlierOrdersExpired: at.monotonic >= lease.earlierOrdersExpireAt,
  };
}

function isOwn(lease: Lease, record: LeaseRecord): boolean {
  return record.holder === lease.holder && record.incarnation === lease.incarnation;
}

function startRead(lease: Lease): LeaseTransaction {
  return { lease: { ...lease, call: 'read' }, effects: [{ kind: 'read' }] };
}

interface Terms {
  readonly version: number;
  readonly nonce: string;
  readonly durationMs: number;
}

function startWrite(lease: Lease, terms: Terms, at: Instant): LeaseTransaction {
  const { holder, incarnation, orderMs } = lease;
  const { version, nonce, durationMs } = terms;
  const record: LeaseRecord = {
    holder, incarnation, nonce, durationMs, orderMs,
  };
  const expected: Precondition = version === 0 ? { kind: 'absent' } : { kind: 'version', version };
  const sent: LeaseWrite = {
    nonce, sentAt: at, durationMs, orderMs,
  };
  return {
    lease: { ...lease, call: 'write', unconfirmedWrites: [...lease.unconfirmedWrites, sent] },
    effects: [{
      kind: 'write', nonce, expected, value: JSON.stringify(record),
    }],
  };
}

function renew(lease: Lease, held: HeldLease, nonce: string, at: Instant): LeaseTransaction {
  if (elapsedMs(held.since, at) < lease.durationMs * RENEW_AFTER) return { lease, effects: [] };
  return startWrite(lease, { version: held.version, nonce, durationMs: lease.durationMs }, at);
}

/** Acquires the lease if its record was unchanged for its whole duration; otherwise reads it. */
function acquire(
  lease: Lease,
  nonce: string,
  candidate: boolean,
  at: Instant,
): LeaseTransaction {
  const { observed, durationMs } = lease;
  if (!observed) return startRead(lease);
  const { version, record, firstSeenAt } = observed;
  const own = isOwn(lease, record);
  // Others acquire it only much later, when no candidate has, as when none reaches the store.
  const idleMs = candidate ? 0 : durationMs * IDLE_DURATIONS;
  const expiresAt = firstSeenAt + idleMs + (own ? 0 : record.durationMs * (1 + DRIFT));
  const sinceRead = at.monotonic - lease.lastReadAt;
  if (at.monotonic >= expiresAt) {
    // A record last read long ago may have been renewed since; the update would only conflict.
    if (sinceRead > durationMs * RENEW_AFTER) return startRead(lease);
    const earlierOrdersExpireAt = own
      ? lease.earlierOrdersExpireAt
      : at.monotonic + record.orderMs * (1 + DRIFT);
    return startWrite({ ...lease, earlierOrdersExpireAt }, { version, nonce, durationMs }, at);
  }
  return sinceRead >= Math.max(idleMs, durationMs * RENEW_AFTER)
    ? startRead(lease)
    : { lease, effects: [] };
}

function tick(
  lease: Lease,
  event: Extract<LeaseEvent, { kind: 'tick' }>,
  at: Instant,
): LeaseTransaction {
  const { held } = lease;
  if (held && remainingMs(held.durationMs, held.since, at) <= 0) {
    const expired = { ...lease, held: undefined, unverified: false };
    const lost = { kind: 'lost', reason: 'lapsed' } as const;
    if (lease.call !== 'none') return { lease: expired, effects: [lost] };
    const next = startRead(expired);
    return { ...next, effects: [lost, ...next.effects] };
  }
  if (lease.call !== 'none' || at.monotonic < lease.retryAt) return { lease, effects: [] };
  if (lease.unverified) return startRead(lease);
  if (held) return renew(lease, held, event.nonce, at);
  if (lease.released) return { lease, effects: [] };
  return acquire(lease, event.nonce, event.candidate, at);
}

/** Records a failed call and backs off before the next one. */
function withFailure(lease: Lease, at: Instant): Lease {
  const consecutiveFailures = lease.consecutiveFailures + 1;
  const pauseMs = lease.durationMs * INITIAL_BACKOFF
    * 2 ** Math.min(consecutiveFailures, MAX_BACKOFF_DOUBLINGS);
  return { ...lease, consecutiveFailures, retryAt: at.monotonic + pauseMs };
}

function withSuccess(lease: Lease): Lease {
  return { ...lease, consecutiveFailures: 0, retryAt: -Infinity };
}

/** The writes that would still hold the lease if they took effect. */
function unexpiredWrites(lease: Lease, at: Instant): readonly LeaseWrite[] {
  return lease.unconfirmedWrites
    .filter((sent) => remainingMs(sent.durationMs, sent.sentAt, at) > 0);
}

function confirm(lease: Lease, version: number, sent: LeaseWrite, at: Instant): LeaseTransaction {
  const { sentAt: since, durationMs, orderMs } = sent;
  const held: HeldLease = {
    version, since, durationMs, orderMs,
  };
  const next: Lease = {
    ...lease, held, unverified: false, unconfirmedWrites: [],
  };
  if (!grantAt(next, at)) return { lease: { ...next, held: undefined }, effects: [] };
  // A renewal is not reported.
  return { lease: next, effects: lease.held ? [] : [{ kind: 'taken', fence: version }] };
}

function observe(
  lease: Lease,
  version: number,
  record: LeaseRecord,
  at: Instant,
): Lease {
  const { observed } = lease;
  const firstSeenAt = observed?.version === version ? observed.firstSeenAt : at.monotonic;
  return { ...lease, observed: { version, record, firstSeenAt }, lastReadAt: at.monotonic };
}

function recordFound(lease: Lease, version: number, value: string, at: Instant): LeaseTransaction {
  const record = parseRecord(value, lease);
  const updated = observe(lease, version, record, at);
  const sent = lease.unconfirmedWrites.find((item) => item.nonce === record.nonce);
  if (sent && sent.durationMs > 0 && !lease.released) return confirm(updated, version, sent, at);
  const unconfirmedWrites = unexpiredWrites(updated, at);
  if (lease.held?.version === version) {
    return { lease: { ...updated, unverified: false, unconfirmedWrites }, effects: [] };
  }
  const next: Lease = {
    ...updated, held: undefined, unverified: false, unconfirmedWrites,
  };
  return { lease: next, effects: lease.held ? [{ kind: 'lost', reason: 'superseded' }] : [] };
}

function recordAbsent(lease: Lease, at: Instant): LeaseTransaction {
  // The record of a live holder may have been removed, so its absence is waited out like a record.
  const updated = observe(lease, 0, parseRecord('', lease), at);
  const next: Lease = { ...updated, held: undefined, unverified: false };
  return { lease: next, effects: lease.held ? [{ kind: 'lost', reason: 'superseded' }] : [] };
}

function afterRead(lease: Lease, outcome: ReadOutcome, at: Instant): LeaseTransaction {
  const idle: Lease = { ...lease, call: 'none' };
  switch (outcome.kind) {
    case 'found': return recordFound(withSuccess(idle), outcome.version, outcome.value, at);
    case 'absent': return recordAbsent(withSuccess(idle), at);
    case 'failed': return { lease: withFailure(idle, at), effects: [] };
  }
}

function afterWrite(
  lease: Lease,
  { nonce, outcome }: Extract<LeaseEvent, { kind: 'written' }>,
  at: Instant,
): LeaseTransaction {
  const idle: Lease = { ...lease, call: 'none' };
  const sent = lease.unconfirmedWrites.find((item) => item.nonce === nonce);
  const others = lease.unconfirmedWrites.filter((item) => item.nonce !== nonce);
  switch (outcome.kind) {
    case 'done':
      return sent && sent.durationMs > 0 && !lease.released
        ? confirm(withSuccess(idle), outcome.version, sent, at)
        : { lease: { ...idle, unconfirmedWrites: others }, effects: [] };
    case 'conflict':
      // The record has changed since it was read, even if a stale read shows it unchanged.
      return startRead({
        ...idle, unverified: true, observed: undefined, unconfirmedWrites: others,
      });
    case 'ambiguous': return startRead(idle);
    case 'failed':
      return { lease: withFailure({ ...idle, unconfirmedWrites: others }, at), effects: [] };
  }
}

function release(lease: Lease, nonce: string, at: Instant): LeaseTransaction {
  const { held } = lease;
  if (!held) return { lease: { ...lease, released: true }, effects: [] };
  const terms: Terms = { version: held.version, nonce, durationMs: 0 };
  const transaction = startWrite({ ...lease, held: undefined, released: true }, terms, at);
  return {
    ...transaction,
    effects: [{ kind: 'lost', reason: 'released' }, ...transaction.effects],
  };
}

export function leaseTransaction(lease: Lease, event: LeaseEvent, at: Instant): LeaseTransaction {
  switch (event.kind) {
    case 'tick': return tick(lease, event, at);
    case 'read': return afterRead(lease, event.outcome, at);
    case 'written': return afterWrite(lease, event, at);
    case 'release': return release(lease, event.nonce, at);
  }
}
