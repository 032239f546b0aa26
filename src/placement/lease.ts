/**
 * The placement lease as a pure state machine: one record in the object API, changed only by
 * conditional update, which any instance may take when its holder has let it lapse.
 *
 * The holder counts its time from before the write was sent, by whichever of the monotonic and
 * the wall clock says that more has passed, and stops a margin early. A taker waits for the whole
 * duration of an unchanged record since it first saw it, by the monotonic clock alone, and a
 * margin longer. The record's version is the fencing number. A write whose answer is lost is
 * settled by reading back the writer's nonce, at once or when it shows up later.
 */
import type { Precondition } from '../store/objects.js';
import type { Held, Lease, Write } from './leasestate.js';
import { elapsedMs, parseRecord } from './leasemessage.js';
import type {
  Instant, LeaseEffect, LeaseEvent, LeaseRecord, ReadOutcome,
} from './leasemessage.js';

/** How far one clock may run ahead of another, as a fraction of the time measured. */
const DRIFT = 0.1;
/** The holder renews, and candidates look, after this fraction of the duration. */
const RENEWAL = 0.4;
/** Instances that are not first in line look this many durations apart. */
const IDLE_DURATIONS = 4;
/** The first pause after a failed call, as a fraction of the duration; it doubles. */
const FIRST_BACKOFF = 0.02;
const MAX_DOUBLINGS = 4;

export interface LeaseTransaction {
  readonly lease: Lease;
  readonly effects: readonly LeaseEffect[];
}

/** What the holder may do now. */
export interface Holding {
  readonly fence: number;
  /** Time left, by this instance's more pessimistic clock. */
  readonly remainingMs: number;
  /** How long an order may take effect after it was sent. */
  readonly orderMs: number;
  /** Monotonic time from which no order of an earlier holder can take effect. */
  readonly settledAt: number;
  /** Whether that time has come. */
  readonly settled: boolean;
}

/** Time left of what a write sent at `since` gave. */
function remainingMs(durationMs: number, since: Instant, at: Instant): number {
  return durationMs * (1 - DRIFT) - elapsedMs(since, at);
}

/** What this instance holds at `at`; undefined when it must not order anything. */
export function holdingAt(lease: Lease, at: Instant): Holding | undefined {
  const { held } = lease;
  if (!held || lease.doubtful) return undefined;
  const left = remainingMs(held.durationMs, held.since, at);
  if (left <= 0) return undefined;
  return {
    fence: held.version,
    remainingMs: left,
    orderMs: held.orderMs,
    settledAt: lease.settledAt,
    settled: at.monotonic >= lease.settledAt,
  };
}

function isOwn(lease: Lease, record: LeaseRecord): boolean {
  return record.holder === lease.holder && record.incarnation === lease.incarnation;
}

function read(lease: Lease): LeaseTransaction {
  return { lease: { ...lease, call: 'read' }, effects: [{ kind: 'read' }] };
}

interface Terms {
  readonly version: number;
  readonly nonce: string;
  readonly durationMs: number;
}

function write(lease: Lease, terms: Terms, at: Instant): LeaseTransaction {
  const { holder, incarnation, orderMs } = lease;
  const { version, nonce, durationMs } = terms;
  const record: LeaseRecord = {
    holder, incarnation, nonce, durationMs, orderMs,
  };
  const expected: Precondition = version === 0 ? { kind: 'absent' } : { kind: 'version', version };
  const sent: Write = {
    nonce, sentAt: at, durationMs, orderMs,
  };
  return {
    lease: { ...lease, call: 'write', unsettled: [...lease.unsettled, sent] },
    effects: [{
      kind: 'write', nonce, expected, value: JSON.stringify(record),
    }],
  };
}

function renew(lease: Lease, held: Held, nonce: string, at: Instant): LeaseTransaction {
  if (elapsedMs(held.since, at) < lease.durationMs * RENEWAL) return { lease, effects: [] };
  return write(lease, { version: held.version, nonce, durationMs: lease.durationMs }, at);
}

/** Takes the lease when its record has stood unchanged for its whole duration, else looks. */
function pursue(
  lease: Lease,
  nonce: string,
  candidate: boolean,
  at: Instant,
): LeaseTransaction {
  const { observed, durationMs } = lease;
  if (!observed) return read(lease);
  const { version, record, seenAt } = observed;
  const own = isOwn(lease, record);
  // Others step in only when no candidate has for long, as when none of them reaches the store.
  const idleMs = candidate ? 0 : durationMs * IDLE_DURATIONS;
  const lapsedAt = seenAt + idleMs + (own ? 0 : record.durationMs * (1 + DRIFT));
  const sinceRead = at.monotonic - lease.readAt;
  if (at.monotonic >= lapsedAt) {
    // A record last read long ago may have been renewed; the update would only conflict.
    if (sinceRead > durationMs * RENEWAL) return read(lease);
    const settledAt = own ? lease.settledAt : at.monotonic + record.orderMs * (1 + DRIFT);
    return write({ ...lease, settledAt }, { version, nonce, durationMs }, at);
  }
  return sinceRead >= Math.max(idleMs, durationMs * RENEWAL)
    ? read(lease)
    : { lease, effects: [] };
}

function tick(
  lease: Lease,
  event: Extract<LeaseEvent, { kind: 'tick' }>,
  at: Instant,
): LeaseTransaction {
  const { held } = lease;
  if (held && remainingMs(held.durationMs, held.since, at) <= 0) {
    const lapsed = { ...lease, held: undefined, doubtful: false };
    const lost = { kind: 'lost', reason: 'lapsed' } as const;
    if (lease.call !== 'none') return { lease: lapsed, effects: [lost] };
    const next = read(lapsed);
    return { ...next, effects: [lost, ...next.effects] };
  }
  if (lease.call !== 'none' || at.monotonic < lease.retryAt) return { lease, effects: [] };
  if (lease.doubtful) return read(lease);
  if (held) return renew(lease, held, event.nonce, at);
  if (lease.resigned) return { lease, effects: [] };
  return pursue(lease, event.nonce, event.candidate, at);
}

/** The call under way has ended without success, and the next one waits. */
function failed(lease: Lease, at: Instant): Lease {
  const failures = lease.failures + 1;
  const pauseMs = lease.durationMs * FIRST_BACKOFF * 2 ** Math.min(failures, MAX_DOUBLINGS);
  return { ...lease, failures, retryAt: at.monotonic + pauseMs };
}

function succeeded(lease: Lease): Lease {
  return { ...lease, failures: 0, retryAt: -Infinity };
}

/** Writes so recent that what they gave, should they have taken effect, has not lapsed. */
function withoutLapsed(lease: Lease, at: Instant): readonly Write[] {
  return lease.unsettled.filter((sent) => remainingMs(sent.durationMs, sent.sentAt, at) > 0);
}

function take(lease: Lease, version: number, sent: Write, at: Instant): LeaseTransaction {
  const { sentAt: since, durationMs, orderMs } = sent;
  const held: Held = {
    version, since, durationMs, orderMs,
  };
  const next: Lease = {
    ...lease, held, doubtful: false, unsettled: [],
  };
  if (!holdingAt(next, at)) return { lease: { ...next, held: undefined }, effects: [] };
  // A renewal is no news.
  return { lease: next, effects: lease.held ? [] : [{ kind: 'taken', fence: version }] };
}

function observe(
  lease: Lease,
  version: number,
  record: LeaseRecord,
  at: Instant,
): Lease {
  const { observed } = lease;
  const seenAt = observed?.version === version ? observed.seenAt : at.monotonic;
  return { ...lease, observed: { version, record, seenAt }, readAt: at.monotonic };
}

function found(lease: Lease, version: number, value: string, at: Instant): LeaseTransaction {
  const record = parseRecord(value, lease);
  const seen = observe(lease, version, record, at);
  const sent = lease.unsettled.find((item) => item.nonce === record.nonce);
  if (sent && sent.durationMs > 0 && !lease.resigned) return take(seen, version, sent, at);
  const unsettled = withoutLapsed(seen, at);
  if (lease.held?.version === version) {
    return { lease: { ...seen, doubtful: false, unsettled }, effects: [] };
  }
  const next: Lease = {
    ...seen, held: undefined, doubtful: false, unsettled,
  };
  return { lease: next, effects: lease.held ? [{ kind: 'lost', reason: 'superseded' }] : [] };
}

function absent(lease: Lease, at: Instant): LeaseTransaction {
  // Somebody may have removed the record of a living holder, so that none is waited out as one.
  const seen = observe(lease, 0, parseRecord('', lease), at);
  const next: Lease = { ...seen, held: undefined, doubtful: false };
  return { lease: next, effects: lease.held ? [{ kind: 'lost', reason: 'superseded' }] : [] };
}

function afterRead(lease: Lease, outcome: ReadOutcome, at: Instant): LeaseTransaction {
  const idle: Lease = { ...lease, call: 'none' };
  switch (outcome.kind) {
    case 'found': return found(succeeded(idle), outcome.version, outcome.value, at);
    case 'absent': return absent(succeeded(idle), at);
    case 'failed': return { lease: failed(idle, at), effects: [] };
  }
}

function afterWrite(
  lease: Lease,
  { nonce, outcome }: Extract<LeaseEvent, { kind: 'written' }>,
  at: Instant,
): LeaseTransaction {
  const idle: Lease = { ...lease, call: 'none' };
  const sent = lease.unsettled.find((item) => item.nonce === nonce);
  const others = lease.unsettled.filter((item) => item.nonce !== nonce);
  switch (outcome.kind) {
    case 'done':
      return sent && sent.durationMs > 0 && !lease.resigned
        ? take(succeeded(idle), outcome.version, sent, at)
        : { lease: { ...idle, unsettled: others }, effects: [] };
    case 'conflict':
      // The record has changed since it was seen, even if a stale read should show it unchanged.
      return read({
        ...idle, doubtful: true, observed: undefined, unsettled: others,
      });
    case 'ambiguous': return read(idle);
    case 'failed': return { lease: failed({ ...idle, unsettled: others }, at), effects: [] };
  }
}

function release(lease: Lease, nonce: string, at: Instant): LeaseTransaction {
  const { held } = lease;
  if (!held) return { lease: { ...lease, resigned: true }, effects: [] };
  const terms: Terms = { version: held.version, nonce, durationMs: 0 };
  const given = write({ ...lease, held: undefined, resigned: true }, terms, at);
  return { ...given, effects: [{ kind: 'lost', reason: 'released' }, ...given.effects] };
}

export function leaseTransaction(lease: Lease, event: LeaseEvent, at: Instant): LeaseTransaction {
  switch (event.kind) {
    case 'tick': return tick(lease, event, at);
    case 'read': return afterRead(lease, event.outcome, at);
    case 'written': return afterWrite(lease, event, at);
    case 'release': return release(lease, event.nonce, at);
  }
}
