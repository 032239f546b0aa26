/**
 * Publishes a daemon's own entries to all others. The interval between two changes of a key grows
 * with the size of its category, so that a larger deployment sends no more bytes per second, but
 * its values are older. Urgent keys are published at once.
 */
import {
  entryId, entryMessage, isUrgent, ownRecord,
} from './state.js';
import { publishIntervalMs, resized } from './bandwidth.js';
import type { Entry, State } from './state.js';

/** Publishes one pending value as this daemon's next version. */
export function publishNow(state: State, key: string, value: unknown, now: number): State {
  const { name: origin, incarnation } = ownRecord(state);
  const version = state.version + 1;
  const sequence = state.sequence + 1;
  const pending = new Map(state.pending);
  pending.delete(key);
  const message = entryMessage({
    origin, incarnation, key, version, value, sequence: 0, holders: [], size: 0, changedAt: now,
  });
  const size = JSON.stringify(message).length;
  const entry: Entry = {
    ...message, sequence, holders: [], size, changedAt: now,
  };
  const id = entryId(origin, key);
  const sizes = resized(state.sizes, key, size - (state.entries.get(id)?.size ?? 0));
  return {
    ...state,
    version,
    sequence,
    pending,
    sizes,
    entries: new Map(state.entries).set(id, entry),
    urgentSequence: isUrgent(key) ? sequence : state.urgentSequence,
  };
}

/** Publishes the pending values whose intervals have elapsed. */
export function publishDue(state: State, now: number): State {
  if (state.pending.size === 0) return state;
  return [...state.pending].reduce((next, [key, value]) => {
    const last = state.entries.get(entryId(state.self, key));
    const early = last && now - last.changedAt < publishIntervalMs(state.sizes, key);
    return early ? next : publishNow(next, key, value, now);
  }, state);
}
