/**
 * Reconstructs the timeline of one request from the log lines of any number of instances: the lines
 * that name the request, and for context other lines about the servers that it was sent to and the
 * instances that served it.
 *
 * The instances' clocks may differ and may step. Lines of one instance therefore stay in the order
 * in which they were written, with times relative to its first line about the request.
 */
import type { LogLine } from './logline.js';

/** Time before the request's first line and after its last in which context is included. */
const CONTEXT_BEFORE_MS = 5_000;
const CONTEXT_AFTER_MS = 5_000;
/** Context lines kept in memory; few are logged, as servers, store and peers rarely change. */
const MAX_CONTEXT_LINES = 50_000;
/** A line that is earlier than its predecessor by more shows that the clock was set back. */
const CLOCK_STEP_MS = 100;

/** Events that change an instance's state; the latest of each before the request is included. */
const STATE_EVENTS: readonly string[] = [
  'configuration_in_force', 'configuration', 'store_lost', 'store_regained', 'started',
];

export interface TimelineLine {
  readonly instance: string;
  /** Time since the instance's first line about the request; negative before it. */
  readonly offsetMs: number;
  readonly event: string;
  readonly fields: Readonly<Record<string, string>>;
  /** Whether the line names the request itself. */
  readonly own: boolean;
}

/** `cut`: the instance's stop ended it at its limit. `open`: no line records the end. */
export type Ending =
  | { readonly kind: 'answered'; readonly status: number; readonly ms: number }
  | { readonly kind: 'broken_off'; readonly status: number; readonly ms: number }
  | { readonly kind: 'cut'; readonly stage: string; readonly ageMs: number }
  | {
    readonly kind: 'refused';
    readonly code: string;
    readonly ran: string;
    readonly reason: string;
    readonly retryAfterMs: number | undefined;
  }
  | { readonly kind: 'open' };

export interface InstanceTimeline {
  readonly instance: string;
  /** By the instance's own clock. */
  readonly startedAt: string;
  readonly lines: readonly TimelineLine[];
  readonly ending: Ending;
}

/** A server that the request was sent to, and the instances that lost it around that time. */
export interface LostServer {
  readonly server: string;
  readonly by: readonly string[];
  /** Other instances with lines in the logs, which did not lose it. */
  readonly notBy: readonly string[];
}

export interface Timeline {
  readonly request: string;
  /** The instances that served the request; empty when no line names it. */
  readonly instances: readonly InstanceTimeline[];
  readonly lost: readonly LostServer[];
  /** Limitations of the timeline, such as clocks that differ. */
  readonly notes: readonly string[];
}

interface OrderedLine extends LogLine { readonly order: number }

function endingOf(lines: readonly LogLine[]): Ending {
  const refused = lines.findLast(({ event }) => event === 'refuse');
  const answered = lines.findLast(({ event }) => event === 'answered');
  if (refused) {
    const {
      code = '', ran = '', reason = '', retry_after_ms: retryAfter,
    } = refused.fields;
    return {
      kind: 'refused',
      code,
      ran,
      reason,
      retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter),
    };
  }
  const cut = lines.findLast(({ event, fields }) => (
    event === 'open_answer' && fields.state === 'expired'));
  if (!answered && !cut) return { kind: 'open' };
  if (!answered) {
    return { kind: 'cut', stage: cut!.fields.stage ?? '', ageMs: Number(cut!.fields.age_ms) };
  }
  const { status, ms, whole } = answered.fields;
  return {
    kind: whole === 'true' ? 'answered' : 'broken_off', status: Number(status), ms: Number(ms),
  };
}

function groupBy<Item>(items: readonly Item[], key: (item: Item) => string): Map<string, Item[]> {
  const grouped = new Map<string, Item[]>();
  items.forEach((item) => {
    const group = grouped.get(key(item));
    if (group) group.push(item);
    else grouped.set(key(item), [item]);
  });
  return grouped;
}

function countClockSteps(lines: readonly LogLine[]): number {
  return lines.filter(({ atMs }, index) => (
    index > 0 && atMs < lines[index - 1]!.atMs - CLOCK_STEP_MS)).length;
}

export class TimelineBuilder {
  readonly #request: string;

  #requestLines: OrderedLine[] = [];

  #contextLines: OrderedLine[] = [];

  #order = 0;

  #dropped = 0;

  readonly #instances = new Set<string>();

  private constructor(request: string) {
    this.#request = request;
  }

  static of(request: string): TimelineBuilder {
    return new TimelineBuilder(request);
  }

  /** Adds a line; the lines of one instance must come in the order in which they were written. */
  add(line: LogLine): void {
    this.#instances.add(line.instance);
    this.#order += 1;
    const ordered = { ...line, order: this.#order };
    if (line.fields.request === this.#request) this.#requestLines.push(ordered);
    else if (line.fields.request === undefined) this.#addContextLine(ordered);
  }

  #addContextLine(line: OrderedLine): void {
    this.#contextLines.push(line);
    if (this.#contextLines.length < MAX_CONTEXT_LINES * 2) return;
    this.#dropped += this.#contextLines.length - MAX_CONTEXT_LINES;
    this.#contextLines = this.#contextLines.slice(-MAX_CONTEXT_LINES);
  }

  build(): Timeline {
    const servers = new Set(this.#requestLines.flatMap(({ fields: { server, standby } }) => (
      [server, standby].filter((name) => name !== undefined))));
    const byInstance = groupBy(this.#requestLines, ({ instance }) => instance);
    const instances = [...byInstance].map(([instance, lines]) => (
      this.#instanceTimeline(instance, lines, servers)));
    return {
      request: this.#request,
      instances,
      lost: [...servers].flatMap((server) => this.#findLostServer(server)),
      notes: this.#notes(byInstance),
    };
  }

  #instanceTimeline(
    instance: string,
    lines: readonly OrderedLine[],
    servers: ReadonlySet<string>,
  ): InstanceTimeline {
    const first = lines[0]!;
    const from = first.atMs - CONTEXT_BEFORE_MS;
    const until = lines.at(-1)!.atMs + CONTEXT_AFTER_MS;
    const sameInstance = this.#contextLines.filter((other) => other.instance === instance);
    const latestStates = STATE_EVENTS.flatMap((event) => {
      const last = sameInstance
        .findLast((line) => line.event === event && line.order < first.order);
      return last ? [last] : [];
    });
    const nearby = sameInstance.filter(({ atMs, fields: { server } }) => (
      atMs >= from && atMs <= until && (server === undefined || servers.has(server))));
    const all = [...new Set([...latestStates, ...nearby, ...lines])]
      .sort((left, right) => left.order - right.order);
    return {
      instance,
      startedAt: new Date(first.atMs).toISOString(),
      lines: all.map((line) => ({
        instance,
        offsetMs: line.atMs - first.atMs,
        event: line.event,
        fields: line.fields,
        own: line.fields.request !== undefined,
      })),
      ending: endingOf(lines),
    };
  }

  #findLostServer(server: string): LostServer[] {
    const from = Math.min(...this.#requestLines.map(({ atMs }) => atMs)) - CONTEXT_BEFORE_MS;
    const until = Math.max(...this.#requestLines.map(({ atMs }) => atMs)) + CONTEXT_AFTER_MS;
    const by = new Set(this.#contextLines
      .filter(({ event, atMs, fields }) => event === 'server_suspected'
        && fields.server === server && atMs >= from && atMs <= until)
      .map(({ instance }) => instance));
    if (by.size === 0) return [];
    const notBy = [...this.#instances].filter((name) => name !== '' && !by.has(name));
    return [{ server, by: [...by].sort(), notBy: notBy.sort() }];
  }

  #notes(byInstance: ReadonlyMap<string, readonly LogLine[]>): string[] {
    const steppedInstances = [...byInstance]
      .filter(([, lines]) => countClockSteps(lines) > 0)
      .map(([name]) => name);
    return [
      ...(byInstance.size > 1
        ? ['more than one instance served it; their clocks may differ by seconds']
        : []),
      ...steppedInstances.map((name) => (
        `the times of ${name} go back: its clock was set, or its files are not in order`)),
      ...(this.#dropped > 0
        ? [`${this.#dropped} lines of servers and dependencies were too many to keep`]
        : []),
    ];
  }
}
