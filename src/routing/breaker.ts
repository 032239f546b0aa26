/**
 * A circuit breaker for one backend server. It opens when most recent outcomes are failures, lets
 * one probe through after a jittered pause that doubles with each failed probe, and closes when a
 * probe is answered.
 */
import type { Random } from '../common/random.js';
import type { AttemptOutcome } from './dispatcher.js';

/** Smoothing factor of the failure rate; five failures in a row open a closed breaker. */
const OUTCOME_WEIGHT = 0.2;
const OPEN_ABOVE = 0.6;
const FIRST_PAUSE_MS = 500;
const MAX_PAUSE_MS = 30_000;
const PAUSE_JITTER = 0.3;
/** After this time without an outcome of the probe, another one is let through. */
const PROBE_TIMEOUT_MS = 10_000;

export type Breaker =
  | { readonly kind: 'closed'; readonly failureRate: number }
  | { readonly kind: 'open'; readonly until: number; readonly pauseMs: number }
  | { readonly kind: 'half_open'; readonly probeUntil: number; readonly pauseMs: number };

export const CLOSED: Breaker = { kind: 'closed', failureRate: 0 };

/** Whether a request may be sent now. */
export function allows(breaker: Breaker, now: number): boolean {
  switch (breaker.kind) {
    case 'closed': return true;
    case 'open': return now >= breaker.until;
    case 'half_open': return now >= breaker.probeUntil;
  }
}

/** Records a dispatch, which is a probe unless the breaker is closed. */
export function breakerDispatched(breaker: Breaker, now: number): Breaker {
  if (breaker.kind === 'closed') return breaker;
  return { kind: 'half_open', probeUntil: now + PROBE_TIMEOUT_MS, pauseMs: breaker.pauseMs };
}

function open(previousMs: number, now: number, random: Random): Breaker {
  const pauseMs = Math.min(MAX_PAUSE_MS, Math.max(FIRST_PAUSE_MS, previousMs * 2));
  return { kind: 'open', until: now + random.jitter(pauseMs, PAUSE_JITTER), pauseMs };
}

function failed(breaker: Breaker, now: number, random: Random): Breaker {
  switch (breaker.kind) {
    case 'closed': {
      const failureRate = breaker.failureRate * (1 - OUTCOME_WEIGHT) + OUTCOME_WEIGHT;
      return failureRate > OPEN_ABOVE ? open(0, now, random) : { kind: 'closed', failureRate };
    }
    // The request was dispatched before the breaker opened.
    case 'open': return breaker;
    case 'half_open': return open(breaker.pauseMs, now, random);
  }
}

/** Applies the outcome of a request; a cancelled one says nothing about the server. */
export function breakerOutcome(
  breaker: Breaker,
  outcome: AttemptOutcome,
  now: number,
  random: Random,
): Breaker {
  switch (outcome) {
    case 'cancelled':
      // The probe ended without a result: the next request may be a probe.
      return breaker.kind === 'half_open' ? { ...breaker, probeUntil: now } : breaker;
    case 'answered':
      if (breaker.kind === 'closed') {
        return { kind: 'closed', failureRate: breaker.failureRate * (1 - OUTCOME_WEIGHT) };
      }
      return breaker.kind === 'half_open' ? CLOSED : breaker;
    case 'failed':
    case 'refused': return failed(breaker, now, random);
  }
}
