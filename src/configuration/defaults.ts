/** Defaults for settings that are missing in the operators' folder. */
import type { Configuration, Limits, Placement } from './configuration.js';

export const DEFAULT_LIMITS: Limits = {
  queueWaitMs: { interactive: 500, standard: 5_000, batch: 30_000 },
  queueLength: 1_000,
  callerBufferBytes: 65_536,
  callerStallMs: 30_000,
};

export const DEFAULT_PLACEMENT: Placement = {
  enabled: true,
  concurrentLoads: 2,
  loadsPerMinute: 12,
  leaseMs: 6_000,
  orderTimeoutMs: 2_000,
};

/** Has no prototype: callers choose names that are looked up, such as `constructor`. */
const EMPTY_RECORD = Object.freeze(Object.create(null) as Record<string, never>);

/** The configuration before any revision has been accepted: nothing is served. */
export const EMPTY_CONFIGURATION: Configuration = {
  revision: 0,
  deployment: { name: 'unconfigured', favour: 'latency', zones: [] },
  models: EMPTY_RECORD,
  servers: EMPTY_RECORD,
  pools: EMPTY_RECORD,
  services: EMPTY_RECORD,
  workspaces: EMPTY_RECORD,
  limits: DEFAULT_LIMITS,
  placement: DEFAULT_PLACEMENT,
};
