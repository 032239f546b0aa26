/** In-memory object stores in virtual time, and helpers for their results. */
import type { Result } from 'neverthrow';
import { Random } from '../../src/common/random.js';
import { MemoryObjects } from '../../src/standin/objects.js';
import type { StoreError, StoreErrorCode } from '../../src/store/objects.js';
import { VirtualClock } from './clock.js';

/** An empty store and its clock. */
export function memoryObjects(seed = 1): { clock: VirtualClock; objects: MemoryObjects } {
  const clock = new VirtualClock();
  return { clock, objects: MemoryObjects.of(clock, Random.of(seed)) };
}

/** The value of a call; throws if the call failed. */
export function expectOk<Value>(result: Result<Value, StoreError>): Value {
  if (result.isErr()) throw new Error(`${result.error.code}: ${result.error.message}`);
  return result.value;
}

/** The error code of a call, or `ok` if it succeeded. */
export function codeOf(result: Result<unknown, StoreError>): StoreErrorCode | 'ok' {
  return result.isErr() ? result.error.code : 'ok';
}
