/**
 * The queue of requests for backend servers. Classes share the servers' time by weighted fair
 * queueing with steep weights, so that interactive requests go first and batch is never starved.
 * Within a class resumes go first, and workspaces share by their weights. The queue's length and
 * the time of each entry in it are bounded.
 */
import type { Priority } from '../common/priority.js';
import type { Limits } from '../configuration/configuration.js';
import {
  append, CLASSES, entriesOf, expectedWaitMs, rateKey, remove, withClass,
} from './queuestate.js';
import type {
  ClassQueue, Entry, PlacementRate, QueueState,
} from './queuestate.js';

const CLASS_WEIGHTS: Readonly<Record<Priority, number>> = {
  interactive: 16, standard: 4, batch: 1,
};

/** Smallest weight of a new interval in the moving average; the first ones weigh more. */
const INTERVAL_WEIGHT = 0.2;

export type QueueEvent =
  | { readonly kind: 'enter'; readonly entry: Entry }
  | { readonly kind: 'placed'; readonly entry: Entry; readonly now: number }
  | { readonly kind: 'left'; readonly entry: Entry }
  | { readonly kind: 'tick'; readonly now: number };

export interface QueueRefusal {
  readonly kind: 'refuse';
  readonly entry: Entry;
  readonly cause: 'queue_timeout' | 'overloaded';
  /** Estimated time until a slot becomes free. */
  readonly retryAfterMs: number;
}

export interface QueueTransaction {
  readonly state: QueueState;
  readonly effects: readonly QueueRefusal[];
}

/**
 * The entry to shed: in the lowest class that has any, the newest entry of the workspace with the
 * most entries relative to its weight.
 */
function entryToShed(state: QueueState): Entry | undefined {
  const lowest = [...CLASSES].reverse()
    .find((name) => [...state.classes[name].flows.values()].some((flow) => flow.entries.length));
  if (!lowest) return undefined;
  const longest = [...state.classes[lowest].flows.values()].reduce((left, right) => (
    right.entries.length / right.weight > left.entries.length / left.weight ? right : left));
  return longest.entries.at(-1);
}

function enter(state: QueueState, entry: Entry, limits: Limits): QueueTransaction {
  const waitMs = expectedWaitMs(state, entry);
  if (!entry.resume && entry.enteredAt + waitMs > entry.deadline) {
    return {
      state,
      effects: [{
        kind: 'refuse', entry, cause: 'overloaded', retryAfterMs: waitMs,
      }],
    };
  }
  const next = append(state, entry);
  const shed = next.length > limits.queueLength ? entryToShed(next) : undefined;
  if (!shed) return { state: next, effects: [] };
  return {
    state: remove(next, shed),
    effects: [{
      kind: 'refuse',
      entry: shed,
      cause: 'overloaded',
      retryAfterMs: Math.max(expectedWaitMs(state, shed), limits.queueWaitMs[shed.priority]),
    }],
  };
}

function updatedRates(
  state: QueueState,
  entry: Entry,
  now: number,
): ReadonlyMap<string, PlacementRate> {
  // An entry that didn't wait says nothing about how fast queued entries are placed.
  if (entry.enteredAt === now) return state.placementRates;
  const name = rateKey(entry);
  const rate = state.placementRates.get(name)
    ?? { placements: 0, intervalMs: 0, placedAt: entry.enteredAt };
  // Before this entry was queued the queue may have been empty, so that time isn't counted.
  const intervalMs = now - Math.max(rate.placedAt, entry.enteredAt);
  const weight = Math.max(INTERVAL_WEIGHT, 1 / (rate.placements + 1));
  return new Map(state.placementRates).set(name, {
    placements: rate.placements + 1,
    intervalMs: rate.intervalMs + (intervalMs - rate.intervalMs) * weight,
    placedAt: now,
  });
}

function placed(state: QueueState, entry: Entry, now: number): QueueTransaction {
  const {
    priority, workspace, cost, resume,
  } = entry;
  const queue = state.classes[priority];
  const charged: ClassQueue = { ...queue, tag: queue.tag + cost / CLASS_WEIGHTS[priority] };
  const flow = queue.flows.get(workspace);
  const virtualTime = Math.max(state.virtualTime, queue.tag);
  const placementRates = updatedRates(state, entry, now);
  if (resume || !flow) {
    const next = withClass({ ...state, virtualTime, placementRates }, priority, charged, 0);
    return { state: remove(next, entry), effects: [] };
  }
  const flows = new Map(queue.flows)
    .set(workspace, { ...flow, tag: flow.tag + cost / flow.weight });
  const next = withClass({ ...state, virtualTime, placementRates }, priority, {
    ...charged, flows, virtualTime: Math.max(queue.virtualTime, flow.tag),
  }, 0);
  return { state: remove(next, entry), effects: [] };
}

function expire(state: QueueState, now: number): QueueTransaction {
  const late = entriesOf(state).filter(({ deadline }) => deadline <= now);
  return {
    state: late.reduce(remove, state),
    effects: late.map((entry) => ({
      kind: 'refuse',
      entry,
      cause: 'queue_timeout',
      retryAfterMs: Math.max(expectedWaitMs(state, entry), now - entry.enteredAt),
    })),
  };
}

/** Applies an event; the effects are refusals to send. */
export function queueTransaction(
  state: QueueState,
  event: QueueEvent,
  limits: Limits,
): QueueTransaction {
  switch (event.kind) {
    case 'enter': return enter(state, event.entry, limits);
    case 'placed': return placed(state, event.entry, event.now);
    case 'left': return { state: remove(state, event.entry), effects: [] };
    case 'tick': return expire(state, event.now);
  }
}

function firstOf(queue: ClassQueue, placeable: (entry: Entry) => boolean): Entry | undefined {
  const resume = queue.resumes.find(placeable);
  if (resume) return resume;
  return [...queue.flows.values()]
    .filter(({ entries }) => entries.length > 0)
    .sort((left, right) => left.tag - right.tag)
    .reduce<Entry | undefined>((found, { entries }) => found ?? entries.find(placeable), undefined);
}

/**
 * The next entry to place among those that `placeable` accepts, so that entries whose servers are
 * full don't block others.
 */
export function nextEntry(
  { classes }: QueueState,
  placeable: (entry: Entry) => boolean,
): Entry | undefined {
  const heads = CLASSES.flatMap((name) => {
    const entry = firstOf(classes[name], placeable);
    return entry ? [{ entry, finish: classes[name].tag + entry.cost / CLASS_WEIGHTS[name] }] : [];
  });
  return heads.sort((left, right) => left.finish - right.finish)[0]?.entry;
}
