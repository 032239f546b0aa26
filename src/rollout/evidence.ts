/**
 * What answers say of the versions of a service, as running totals of each counting process. A
 * process counts from its start only up, so that totals which arrive late, twice or out of order
 * are merged by their maximum, and what a process has told is kept when it has ended.
 */
/** Classes of an answer's time relative to what was expected; each reaches 1.6 times as far. */
export const CLASSES = 16;
const CLASS_RATIO = 1.6;
const SHORTEST = 0.004;
/** Rows kept: some routes of each instance of a large deployment. */
const MAX_ROWS = 4_096;
const MAX_OWN_ROWS = 64;
/** Stands for the routes beyond those that are counted apart. */
const OTHER_ROUTES = '*';

/** Texts of a row and its counts are bounded, as other instances send them. */
const MAX_TEXT = 600;
const MAX_COUNT = 1e9;
const MIN_SIDE = 3;

/** Answers of the target, or of the other versions, on one route. */
export interface Side {
  readonly sent: number;
  /** Requests whose first event or answer has come, or that have failed. */
  readonly seen: number;
  readonly failures: number;
  /** Answers by class of their time. */
  readonly times: readonly number[];
}

export interface Row {
  readonly service: string;
  /** Of the order. */
  readonly key: string;
  readonly process: string;
  readonly route: string;
  readonly target: Side;
  readonly others: Side;
}

export type SideName = 'target' | 'others';

export const NO_ANSWERS: Side = {
  sent: 0, seen: 0, failures: 0, times: new Array<number>(CLASSES).fill(0),
};

/** @param ratio an answer's time divided by what was expected */
export function timeClass(ratio: number): number {
  const index = Math.floor(Math.log(Math.max(ratio, SHORTEST) / SHORTEST) / Math.log(CLASS_RATIO));
  return Math.min(CLASSES - 1, Math.max(0, index));
}

export function combined(
  left: Side,
  right: Side,
  combine: (left: number, right: number) => number,
): Side {
  return {
    sent: combine(left.sent, right.sent),
    seen: combine(left.seen, right.seen),
    failures: combine(left.failures, right.failures),
    times: left.times.map((count, index) => combine(count, right.times[index] ?? 0)),
  };
}

export function sum(left: number, right: number): number {
  return left + right;
}

function encodeSide({
  sent, seen, failures, times,
}: Side): number[] {
  const first = times.findIndex((count) => count > 0);
  const last = times.findLastIndex((count) => count > 0);
  return first < 0 ? [sent, seen, failures]
    : [sent, seen, failures, first, ...times.slice(first, last + 1)];
}

function isText(value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_TEXT;
}

/** Checked without a schema, since messages are full of them while an order runs. */
function isSide(value: unknown): value is [number, number, number, ...number[]] {
  return Array.isArray(value) && value.length >= MIN_SIDE
    && value.length <= MIN_SIDE + 1 + CLASSES
    && value.every((each) => Number.isInteger(each) && each >= 0 && each <= MAX_COUNT);
}

function decodeSide([sent, seen, failures, first = 0, ...times]: readonly [
  number, number, number, ...number[],
]): Side {
  const padded = [...new Array<number>(Math.min(first, CLASSES)).fill(0), ...times];
  return {
    sent, seen, failures, times: NO_ANSWERS.times.map((_, index) => padded[index] ?? 0),
  };
}

export function encodeRow({
  service, key, process, route, target, others,
}: Row): unknown[] {
  return ['e', service, key, process, route, encodeSide(target), encodeSide(others)];
}

/** Undefined for what can't be read. */
export function decodeRow(value: unknown): Row | undefined {
  if (!Array.isArray(value)) return undefined;
  const [tag, service, key, process, route, target, others] = value as readonly unknown[];
  if (tag !== 'e' || !isText(service) || !isText(key) || !isText(process) || !isText(route)
    || !isSide(target) || !isSide(others)) return undefined;
  return {
    service, key, process, route, target: decodeSide(target), others: decodeSide(others),
  };
}

function idOf({
  service, key, process, route,
}: Pick<Row, 'service' | 'key' | 'process' | 'route'>): string {
  return JSON.stringify([service, key, process, route]);
}

/** Running totals of this process and of the others, as far as they are known. */
export class Ledger {
  readonly #process: string;

  readonly #own = new Map<string, Row>();

  readonly #others = new Map<string, Row>();

  /** Whether evidence has come since `markJudged`. */
  #isChanged = false;

  private constructor(process: string) {
    this.#process = process;
  }

  /** @param process the identity under which this process counts */
  static of(process: string): Ledger {
    return new Ledger(process);
  }

  get isChanged(): boolean {
    return this.#isChanged;
  }

  markJudged(): void {
    this.#isChanged = false;
  }

  get own(): readonly Row[] {
    return [...this.#own.values()];
  }

  /** Totals of other processes. */
  get others(): readonly Row[] {
    return [...this.#others.values()];
  }

  of(service: string, key: string): readonly Row[] {
    return [...this.own, ...this.others]
      .filter((row) => row.service === service && row.key === key);
  }

  /** Counts an answer of this process. */
  add(
    subject: Pick<Row, 'service' | 'key' | 'route'>,
    side: SideName,
    change: Side,
  ): void {
    const isKnown = this.#own.has(idOf({ ...subject, process: this.#process }));
    const route = isKnown || this.#own.size < MAX_OWN_ROWS ? subject.route : OTHER_ROUTES;
    const row = { ...subject, process: this.#process, route };
    const known = this.#own.get(idOf(row)) ?? { ...row, target: NO_ANSWERS, others: NO_ANSWERS };
    this.#isChanged = true;
    this.#own.set(idOf(row), { ...known, [side]: combined(known[side], change, sum) });
  }

  /** Takes in the totals of another process. */
  adopt(row: Row): void {
    const id = idOf(row);
    const known = this.#others.get(id);
    if (row.process === this.#process || (!known && this.#others.size >= MAX_ROWS)) return;
    this.#isChanged ||= row.target.seen !== known?.target.seen
      || row.target.failures !== known.target.failures;
    this.#others.set(id, known ? {
      ...row,
      target: combined(known.target, row.target, Math.max),
      others: combined(known.others, row.others, Math.max),
    } : row);
  }

  /** Forgets what belongs to no order any more. */
  retain(isKept: (row: Row) => boolean): void {
    [this.#own, this.#others].forEach((rows) => rows.forEach((row, id) => {
      if (!isKept(row)) rows.delete(id);
    }));
  }
}
