/** What the machine gives the process, and the limits that follow from it. */
import { readFileSync } from 'node:fs';
import { totalmem } from 'node:os';
import process from 'node:process';

/** Share of the memory that may be held for others; the program itself needs 60 to 90 MB. */
const MEMORY_SHARE = 0.09;
/** Callers inside their limits hold less than this together, also on a large machine. */
const MAX_BUDGET_BYTES = 33_554_432;
/** Room for some bodies of the largest size, also on the smallest machine. */
const MIN_BUDGET_BYTES = 16_777_216;
/** Descriptors for listeners, the store, peers and health checks. */
const OWN_DESCRIPTORS = 128;
/** Each request may have a connection to a server beside its caller's. */
const DESCRIPTORS_PER_CONNECTION = 2;
const MIN_CONNECTIONS = 64;
const DEFAULT_DESCRIPTORS = 1_024;

/** Bytes of memory that the process may use; the control group's limit if that is lower. */
function memoryBytes(): number {
  const constrained = process.constrainedMemory();
  return constrained > 0 ? Math.min(constrained, totalmem()) : totalmem();
}

/** The limit on the process's open descriptors. */
function descriptorLimit(): number {
  try {
    const limits = readFileSync('/proc/self/limits', 'latin1');
    return Number(/^Max open files\s+(\d+)/m.exec(limits)?.[1] ?? DEFAULT_DESCRIPTORS);
  } catch {
    return DEFAULT_DESCRIPTORS;
  }
}

/**
 * Default of the memory held for others, in bytes.
 *
 * @param limitBytes memory that the process may use, if that is less than the machine's
 */
export function defaultBudgetBytes(limitBytes = Infinity): number {
  const share = Math.floor(Math.min(limitBytes, memoryBytes()) * MEMORY_SHARE);
  return Math.max(MIN_BUDGET_BYTES, Math.min(MAX_BUDGET_BYTES, share));
}

/**
 * Default limit on callers' connections.
 *
 * @param limit descriptors that the process may open, if that is less than the system allows
 */
export function defaultMaxConnections(limit = Infinity): number {
  const descriptors = Math.min(limit, descriptorLimit());
  const connections = (descriptors - OWN_DESCRIPTORS) / DESCRIPTORS_PER_CONNECTION;
  return Math.max(MIN_CONNECTIONS, Math.floor(connections));
}
