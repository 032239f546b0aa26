/**
 * The limits of one workspace as this daemon keeps them: its part of the workspace's rate, as a
 * token bucket, and of its concurrency. Whatever its part, a daemon lets one request run and keeps
 * one token, so a fleet of N daemons may go over a limit by N requests, and by no more.
 */
import type { Workspace } from '../configuration/configuration.js';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import type { LimitUsage } from './shares.js';
import {
  fullBucket, refill, take, waitMs,
} from './tokenbucket.js';
import type { BucketSize, TokenBucket } from './tokenbucket.js';

/** The window in which requests are counted as demand. */
export const DEMAND_WINDOW_MS = 1_000;
/** How far the demand that is published falls in a window without requests. */
const DEMAND_DECAY = 0.5;
/** Demand is published in steps of this part of the limit, so that noise isn't. */
const DEMAND_STEP = 0.02;

/** This daemon's parts of the workspace's limits, from 0 to 1. */
export interface Parts { readonly rate: number; readonly concurrency: number }

export interface WorkspaceState {
  readonly bucket: TokenBucket;
  readonly running: number;
  /** Requests asked for in the current window, admitted or not. */
  readonly asked: number;
  /** The most that would have run at once in the current window. */
  readonly wanted: number;
  readonly rateDemand: number;
  readonly concurrencyDemand: number;
}

export type LimitCause = 'rate' | 'concurrency';

export type WorkspaceVerdict =
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

/** Requests of the workspace that this daemon may run at once. */
export function concurrencyPart({ concurrency }: Workspace, parts: Parts): number {
  return concurrency === 0 ? 0 : Math.max(1, Math.floor(concurrency * parts.concurrency));
}

export function workspaceState(workspace: Workspace, parts: Parts, now: number): WorkspaceState {
  return {
    bucket: fullBucket(bucketSize(workspace, parts), now),
    running: 0,
    asked: 0,
    wanted: 0,
    rateDemand: 0,
    concurrencyDemand: 0,
  };
}

/** Decides on one request. */
export function admitRequest(
  before: WorkspaceState,
  workspace: Workspace,
  parts: Parts,
  now: number,
): WorkspaceVerdict {
  const size = bucketSize(workspace, parts);
  const bucket = refill(before.bucket, size, now);
  const state = {
    ...before,
    bucket,
    asked: before.asked + 1,
    wanted: Math.max(before.wanted, before.running) + 1,
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

/** A request ended. */
export function requestEnded(state: WorkspaceState): WorkspaceState {
  return { ...state, running: Math.max(0, state.running - 1) };
}

/** Ends a window: what was asked in it becomes the demand, which falls slowly and rises at once. */
export function windowEnded(state: WorkspaceState): WorkspaceState {
  const rate = (state.asked * MILLISECONDS_PER_SECOND) / DEMAND_WINDOW_MS;
  return {
    ...state,
    asked: 0,
    wanted: state.running,
    rateDemand: Math.max(rate, state.rateDemand * DEMAND_DECAY),
    concurrencyDemand: Math.max(state.wanted, state.concurrencyDemand * DEMAND_DECAY),
  };
}

function part(amount: number, limit: number): number {
  if (limit === 0) return 0;
  return Math.round(amount / limit / DEMAND_STEP) * DEMAND_STEP;
}

/** What the daemon's callers need of each limit, as parts of it. */
export function needsOf(
  state: WorkspaceState,
  { requestsPerSecond, concurrency }: Workspace,
): Readonly<Record<LimitCause, LimitUsage>> {
  return {
    rate: { demand: part(state.rateDemand, requestsPerSecond), inUse: 0 },
    concurrency: {
      demand: part(state.concurrencyDemand, concurrency),
      inUse: concurrency === 0 ? 0 : state.running / concurrency,
    },
  };
}
