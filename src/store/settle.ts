/**
 * Conditional writes with a definite outcome. If the answer to a write is lost, the object is read
 * back to look for the writer's nonce in it. While the object is unchanged, the same conditional
 * write may be sent again, since at most one of the copies can take effect.
 */
import type { SchedulerLike } from 'rxjs';
import type { Random } from '../common/random.js';
import { backoffMs, pause } from './backoff.js';
import type {
  CallClass, Precondition, ObjectApi, StoredObject, StoreError,
} from './objects.js';

export interface Write {
  readonly name: string;
  readonly value: string;
  readonly expected: Precondition;
  readonly callClass: CallClass;
  /**
   * Whether the object's value contains this write. This has to hold after later writes of others
   * too, so that a write which took effect is never mistaken for one that did not.
   */
  readonly appearsIn: (value: string) => boolean;
}

/**
 * `applied`: the write took effect; `object` is as last read. `superseded`: another change came
 * first, and this write can no longer take effect. `refused`: it was not sent or not accepted, and
 * will not take effect. `unsettled`: it may have taken effect, or may still do so.
 */
export type Settlement = | { readonly kind: 'applied'; readonly object: StoredObject }
  | { readonly kind: 'superseded'; readonly object: StoredObject | undefined }
  | { readonly kind: 'refused'; readonly error: StoreError }
  | { readonly kind: 'unsettled'; readonly error: StoreError };

export interface SettleContext {
  readonly api: ObjectApi;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
}

type Observation = | { readonly kind: 'settled'; readonly settlement: Settlement }
  /** The object read is unchanged, but the read may be stale. */
  | { readonly kind: 'unchanged' }
  | { readonly kind: 'unseen'; readonly error: StoreError };

async function readBack({ api }: SettleContext, write: Write): Promise<Observation> {
  const read = await api.get(write.name, write.callClass);
  if (read.isErr() && read.error.code !== 'not_found') {
    return { kind: 'unseen', error: read.error };
  }
  const object = read.isOk() ? read.value : undefined;
  if (object && write.appearsIn(object.value)) {
    return { kind: 'settled', settlement: { kind: 'applied', object } };
  }
  const expected = write.expected.kind === 'version' ? write.expected.version : 0;
  if (object && object.version > expected) {
    return { kind: 'settled', settlement: { kind: 'superseded', object } };
  }
  return { kind: 'unchanged' };
}

const OUTCOME_UNKNOWN: StoreError = {
  code: 'ambiguous', message: 'the write may still take effect',
};

/**
 * Makes a conditional write and, if its answer is lost, determines whether it took effect.
 * @param until when to give up, in scheduler time
 */
export async function settledPut(
  context: SettleContext,
  write: Write,
  until: number,
): Promise<Settlement> {
  const { api, scheduler, random } = context;
  let ambiguous = false;
  let last = OUTCOME_UNKNOWN;
  /* eslint-disable no-await-in-loop -- each attempt depends on the outcome of the previous one */
  for (let tries = 0; tries === 0 || scheduler.now() < until; tries += 1) {
    const put = await api.put(write.name, write.value, write.expected, write.callClass);
    if (put.isOk()) return { kind: 'applied', object: put.value };
    last = put.error;
    const { code } = put.error;
    if (!ambiguous && code !== 'ambiguous' && code !== 'conflict') {
      return { kind: 'refused', error: put.error };
    }
    ambiguous ||= code === 'ambiguous';
    const observed = await readBack(context, write);
    if (observed.kind === 'settled') return observed.settlement;
    if (observed.kind === 'unseen') last = observed.error;
    const delayMs = backoffMs(tries, random);
    if (scheduler.now() + delayMs >= until) break;
    await pause(delayMs, scheduler);
  }
  /* eslint-enable no-await-in-loop */
  return ambiguous ? { kind: 'unsettled', error: last } : { kind: 'refused', error: last };
}
