/**
 * Enforces this daemon's shares of a workspace's limits: its rate, by a token bucket, and its
 * concurrency. However small its share, a daemon allows one concurrent request and a bucket of one
 * token, so a fleet of N daemons may exceed a limit by at most N requests.
 */
import type { Workspace } from '../configuration/configuration.js';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import type { LimitUsage } from './shares.js';
import {
  fullBucket, refill, take, waitMs,
} from './tokenbucket.js';
import type { BucketSize, TokenBucket } from './tokenbucket.js';

/** Length of the window over which demand is measured. */
export const DEMAND_WINDOW_MS = 1_000;
/** Factor by which the published demand falls in a window without requests. */
const DEMAND_DECAY = 0.5;
/** Demand is rounded to this fraction of the limit, so that noise isn't published. */
const DEMAND_STEP = 0.02;

/** This daemon's shares of a workspace's limits, from 0 to 1. */
export interface Parts { readonly rate: number; readonly concurrency: number }

export interface WorkspaceState {
  readonly bucket: TokenBucket;
  readonly running: number;
  /** Requests in the current window, admitted or not. */
  readonly requests: number;
  /** Peak concurrency of the current window had all requests been admitted. */
  readonly peakConcurrency: number;
  readonly rateDemand: number;
  readonly concurrencyDemand: number;
}

export type LimitCause = 'rate' | 'concurrency';

export type AdmissionDecision =
  | { readonly kind: 'admitted'; readonly state: WorkspaceState }
  | {
    readonly kind: 'limited';
    readonly state: WorkspaceState;
    readonly cause: LimitCause;
    readonly retryAfterMs: number;
  };

const CONCURRENCY_RETRY_MS = 1_000;

function bucketSize({ requestsPerSecond, burst }: Workspace, { rate }: Parts): BucketSize {
  return { perSecond: requestsPerSecond * rate, capacity: Math.max(1, burst * rate) };
}

/** Number of the workspace's requests that this daemon may run concurrently. */
export function concurrencyPart({ concurrency }: Workspace, parts: Parts): number {
  return concurrency === 0 ? 0 : Math.max(1, Math.floor(concurrency * parts.concurrency));
}

export function workspaceState(workspace: Workspace, parts: Parts, now: number): WorkspaceState {
  return {
    bucket: fullBucket(bucketSize(workspace, parts), now),
    running: 0,
    requests: 0,
    peakConcurrency: 0,
    rateDemand: 0,
    concurrencyDemand: 0,
  };
}

/** Decides whether to admit a request. */
export function admitRequest(
  before: WorkspaceState,
  workspace: Workspace,
  parts: Parts,
  now: number,
): AdmissionDecision {
  const size = bucketSize(workspace, parts);
  const bucket = refill(before.bucket, size, now);
  const state = {
    ...before,
    bucket,
    requests: before.requests + 1,
    peakConcurrency: Math.max(before.peakConcurrency, before.running) + 1,
  };
  const taken = workspace.requestsPerSecond === 0 ? undefined : take(bucket);
  if (!taken) {
    return {
      kind: 'limited', state, cause: 'rate', retryAfterMs: waitMs(bucket, size),
    };
  }
  if (before.running >= concurrencyPart(workspace, parts)) {
    return {
      kind: 'limited', state, cause: 'concurrency', retryAfterMs: CONCURRENCY_RETRY_MS,
    };
  }
  return { kind: 'admitted', state: { ...state, bucket: taken, running: before.running + 1 } };
}

/** Frees the concurrency slot of a request that ended. */
export function requestEnded(state: WorkspaceState): WorkspaceState {
  return { ...state, running: Math.max(0, state.running - 1) };
}

/** Ends a window and updates the demand, which rises immediately and decays gradually. */
export function windowEnded(state: WorkspaceState): WorkspaceState {
  const rate = (state.requests * MILLISECONDS_PER_SECOND) / DEMAND_WINDOW_MS;
  return {
    ...state,
    requests: 0,
    peakConcurrency: state.running,
    rateDemand: Math.max(rate, state.rateDemand * DEMAND_DECAY),
    concurrencyDemand: Math.max(state.peakConcurrency, state.concurrencyDemand * DEMAND_DECAY),
  };
}

function fractionOf(amount: number, limit: number): number {
  if (limit === 0) return 0;
  return Math.round(amount / limit / DEMAND_STEP) * DEMAND_STEP;
}

/** Demand and usage of each limit by this daemon's callers, as fractions of the limit. */
export function usageOf(
  state: WorkspaceState,
  { requestsPerSecond, concurrency }: Workspace,
): Readonly<Record<LimitCause, LimitUsage>> {
  return {
    rate: { demand: fractionOf(state.rateDemand, requestsPerSecond), inUse: 0 },
    concurrency: {
      demand: fractionOf(state.concurrencyDemand, concurrency),
      inUse: concurrency === 0 ? 0 : state.running / concurrency,
    },
  };
}
