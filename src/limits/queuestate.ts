/**
 * The state of the queue: the entries by class and workspace, and how fast they are placed.
 *
 * An entry's cost is the time that it is expected to occupy a server. A flow holds the entries of a
 * workspace in a class; its tag is the virtual start time of its next entry, as in start-time fair
 * queueing: the flow with the lowest tag goes first.
 */
import type { Priority } from '../common/priority.js';
import type { Limits } from '../configuration/configuration.js';

/** The classes from highest to lowest; the lowest is shed first. */
export const CLASSES: readonly Priority[] = ['interactive', 'standard', 'batch'];

/** Wait limit of resumes whose class has a shorter one. */
const RESUME_WAIT_MS = 5_000;
/** Number of placements before the expected wait is used. */
const MIN_PLACEMENTS = 8;

export interface Entry {
  readonly id: number;
  readonly workspace: string;
  readonly weight: number;
  readonly priority: Priority;
  readonly resume: boolean;
  /** Entries with equal keys can be placed on the same servers. */
  readonly key: string;
  /** Time that the request is expected to occupy a server, in milliseconds. */
  readonly cost: number;
  readonly enteredAt: number;
  readonly deadline: number;
}

interface Flow {
  readonly tag: number;
  readonly weight: number;
  readonly entries: readonly Entry[];
}

export interface ClassQueue {
  readonly tag: number;
  readonly virtualTime: number;
  readonly resumes: readonly Entry[];
  /** By workspace; a flow without entries stays while its tag is ahead of virtual time. */
  readonly flows: ReadonlyMap<string, Flow>;
}

/** How fast entries of one class and key are placed while any are queued. */
export interface PlacementRate {
  readonly placements: number;
  readonly intervalMs: number;
  readonly placedAt: number;
}

export interface QueueState {
  readonly classes: Readonly<Record<Priority, ClassQueue>>;
  readonly virtualTime: number;
  readonly length: number;
  readonly placementRates: ReadonlyMap<string, PlacementRate>;
}

const EMPTY_CLASS: ClassQueue = {
  tag: 0, virtualTime: 0, resumes: [], flows: new Map(),
};

export const EMPTY_QUEUE: QueueState = {
  classes: { interactive: EMPTY_CLASS, standard: EMPTY_CLASS, batch: EMPTY_CLASS },
  virtualTime: 0,
  length: 0,
  placementRates: new Map(),
};

/** The time by which an entry must be placed. */
export function deadlineOf(
  priority: Priority,
  resume: boolean,
  now: number,
  { queueWaitMs }: Limits,
): number {
  return now + Math.max(queueWaitMs[priority], resume ? RESUME_WAIT_MS : 0);
}

export function rateKey({ priority, key }: Entry): string {
  return `${priority} ${key}`;
}

function classEntries({ resumes, flows }: ClassQueue): readonly Entry[] {
  return [...resumes, ...[...flows.values()].flatMap(({ entries }) => entries)];
}

/** All entries, by class; within a class in no particular order. */
export function entriesOf({ classes }: QueueState): readonly Entry[] {
  return CLASSES.flatMap((name) => classEntries(classes[name]));
}

function isEmpty({ resumes, flows }: ClassQueue): boolean {
  return resumes.length === 0 && ![...flows.values()].some(({ entries }) => entries.length > 0);
}

/** Number of entries of the same class and key that are placed before a new entry. */
function entriesAhead(state: QueueState, {
  priority, workspace, weight, key,
}: Entry): number {
  const same = ({ key: other }: Entry) => other === key;
  const { resumes, flows } = state.classes[priority];
  const own = flows.get(workspace)?.entries.filter(same).length ?? 0;
  return [...flows].reduce((sum, [name, flow]) => {
    if (name === workspace) return sum + own;
    const turns = Math.ceil(((own + 1) * flow.weight) / weight);
    return sum + Math.min(turns, flow.entries.filter(same).length);
  }, resumes.filter(same).length);
}

/** Expected wait of `entry` if it were queued now; 0 until there are enough placements. */
export function expectedWaitMs(state: QueueState, entry: Entry): number {
  const rate = state.placementRates.get(rateKey(entry));
  if (!rate || rate.placements < MIN_PLACEMENTS) return 0;
  return entriesAhead(state, entry) * rate.intervalMs;
}

export function withClass(state: QueueState, name: Priority, queue: ClassQueue, added: number) {
  return {
    ...state,
    classes: { ...state.classes, [name]: queue },
    length: state.length + added,
  };
}

/** Appends `entry` to its flow. */
export function append(state: QueueState, entry: Entry): QueueState {
  const { priority, workspace, weight } = entry;
  const queue = state.classes[priority];
  const tag = isEmpty(queue) ? Math.max(queue.tag, state.virtualTime) : queue.tag;
  if (entry.resume) {
    return withClass(state, priority, { ...queue, tag, resumes: [...queue.resumes, entry] }, 1);
  }
  const flow = queue.flows.get(workspace) ?? { tag: 0, weight, entries: [] };
  const flowTag = flow.entries.length === 0 ? Math.max(flow.tag, queue.virtualTime) : flow.tag;
  const flows = new Map(queue.flows).set(workspace, {
    tag: flowTag, weight, entries: [...flow.entries, entry],
  });
  return withClass(state, priority, { ...queue, tag, flows }, 1);
}

/** Removes `entry` if it is queued. */
export function remove(state: QueueState, entry: Entry): QueueState {
  const { priority, workspace, resume } = entry;
  const queue = state.classes[priority];
  const others = ({ id }: Entry) => id !== entry.id;
  if (resume) {
    const resumes = queue.resumes.filter(others);
    const removed = queue.resumes.length - resumes.length;
    return withClass(state, priority, { ...queue, resumes }, -removed);
  }
  const flow = queue.flows.get(workspace);
  const entries = flow?.entries.filter(others);
  if (!flow || !entries || entries.length === flow.entries.length) return state;
  const flows = new Map(queue.flows);
  if (entries.length > 0 || flow.tag > queue.virtualTime) {
    flows.set(workspace, { ...flow, entries });
  } else flows.delete(workspace);
  return withClass(state, priority, { ...queue, flows }, -1);
}
