/**
 * An in-memory stand-in for the platform's object API, for tests and trials. It counts every call,
 * an open watch as one, and has faults that can be changed while it runs.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Observable } from 'rxjs';
import type { SchedulerLike, Subscriber } from 'rxjs';
import type { Random } from '../common/random.js';
import type {
  CallClass, Precondition, Listing, ObjectApi, StoredObject, StoreError, StoreErrorCode, WatchEvent,
} from '../store/objects.js';
import { RateWindow } from './ratewindow.js';

const MAX_VALUE_BYTES = 1_048_576;
const MAX_HISTORY = 10_000;

/** Faults of the stand-in. Fractions are between 0 and 1; a rate of 0 means no limit. */
export interface ObjectFaults {
  /** All calls are refused and open watches end. */
  readonly outage: boolean;
  /** Time from a call to its response; the call takes effect halfway. */
  readonly latencyMs: number;
  /** Fraction of writes that take effect but whose response is lost. */
  readonly lostAnswers: number;
  /** Fraction of writes that are lost before they take effect, with the same error. */
  readonly lostWrites: number;
  /** Writes fail as ambiguous and take effect after this delay; 0 disables this. */
  readonly lateWritesMs: number;
  /** Reads return the state as it was when this was enabled. */
  readonly staleReads: boolean;
  /** Watches stay open without delivering; missed events are not delivered later. */
  readonly silentWatches: boolean;
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
}

export const NO_FAULTS: ObjectFaults = {
  outage: false,
  latencyMs: 0,
  lostAnswers: 0,
  lostWrites: 0,
  lateWritesMs: 0,
  staleReads: false,
  silentWatches: false,
  readsPerSecond: 0,
  writesPerSecond: 0,
};

/** Calls received so far, including those that were refused or lost. */
export interface CallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly byClass: Readonly<Record<CallClass, number>>;
}

interface Watcher { readonly prefix: string; readonly subscriber: Subscriber<WatchEvent> }

type Mutation = Exclude<WatchEvent, { kind: 'opened' }>;

interface Change { readonly version: number; readonly event: Mutation }

function nameOf(event: Mutation): string {
  return event.kind === 'put' ? event.object.name : event.name;
}

type CallKind = 'reads' | 'writes' | 'watches';

function failure(code: StoreErrorCode, message: string): Result<never, StoreError> {
  return err({ code, message });
}

export class MemoryObjects implements ObjectApi {
  readonly #scheduler: SchedulerLike;

  readonly #random: Random;

  #faults = NO_FAULTS;

  #version = 0;

  #compactedAt = 0;

  #objects = new Map<string, StoredObject>();

  #staleSnapshot: { readonly version: number; readonly objects: ReadonlyMap<string, StoredObject> };

  readonly #history: Change[] = [];

  readonly #watchers = new Set<Watcher>();

  readonly #rates = { reads: new RateWindow(), writes: new RateWindow() };

  readonly #counts = { reads: 0, writes: 0, watches: 0 };

  readonly #byClass: Record<CallClass, number> = {
    configuration: 0, claims: 0, lease: 0, status: 0,
  };

  private constructor(scheduler: SchedulerLike, random: Random) {
    this.#scheduler = scheduler;
    this.#random = random;
    this.#staleSnapshot = { version: 0, objects: new Map() };
  }

  static of(scheduler: SchedulerLike, random: Random): MemoryObjects {
    return new MemoryObjects(scheduler, random);
  }

  /** Sets the given faults and leaves the others unchanged. */
  setFaults(change: Partial<ObjectFaults>): void {
    const before = this.#faults;
    this.#faults = { ...before, ...change };
    if (this.#faults.staleReads && !before.staleReads) {
      this.#staleSnapshot = { version: this.#version, objects: new Map(this.#objects) };
    }
    if (this.#faults.outage) this.#endWatches('unavailable', 'outage');
  }

  faults(): ObjectFaults {
    return this.#faults;
  }

  counts(): CallCounts {
    return { ...this.#counts, byClass: { ...this.#byClass } };
  }

  /** Drops past changes; a watch from an older version then fails with `version_too_old`. */
  compact(): void {
    this.#compactedAt = this.#version;
    this.#history.length = 0;
    this.#endWatches('version_too_old', 'compacted');
  }

  get(name: string, use: CallClass): Promise<Result<StoredObject, StoreError>> {
    return this.#call('reads', use, () => {
      const object = this.#visibleSnapshot().objects.get(name);
      return object ? ok(object) : failure('not_found', `no object ${name}`);
    });
  }

  list(prefix: string, use: CallClass): Promise<Result<Listing, StoreError>> {
    return this.#call('reads', use, () => {
      const { version, objects } = this.#visibleSnapshot();
      const found = [...objects.values()]
        .filter((object) => object.name.startsWith(prefix))
        .sort((left, right) => (left.name < right.name ? -1 : 1));
      return ok({ version, objects: found });
    });
  }

  put(
    name: string,
    value: string,
    expected: Precondition,
    use: CallClass,
  ): Promise<Result<StoredObject, StoreError>> {
    return this.#write(use, () => {
      if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
        return failure('too_large', `${name} is larger than ${MAX_VALUE_BYTES} bytes`);
      }
      const current = this.#objects.get(name)?.version;
      const expectedVersion = expected.kind === 'version' ? expected.version : undefined;
      if (current !== expectedVersion) {
        return failure(
          'conflict',
          `${name} is at version ${current ?? 'none'}, not ${expectedVersion ?? 'none'}`,
        );
      }
      this.#version += 1;
      const object = { name, version: this.#version, value };
      this.#objects.set(name, object);
      this.#record({ kind: 'put', object });
      return ok(object);
    });
  }

  remove(name: string, version: number, use: CallClass): Promise<Result<void, StoreError>> {
    return this.#write(use, () => {
      const current = this.#objects.get(name)?.version;
      if (current === undefined) return failure('not_found', `no object ${name}`);
      if (current !== version) return failure('conflict', `${name} is at version ${current}`);
      this.#version += 1;
      this.#objects.delete(name);
      this.#record({ kind: 'delete', name, version: this.#version });
      return ok(undefined);
    });
  }

  watch(prefix: string, from: number, use: CallClass): Observable<WatchEvent> {
    return new Observable((subscriber) => {
      this.#count('watches', use);
      if (this.#faults.outage) {
        subscriber.error({ code: 'unavailable', message: 'outage' } satisfies StoreError);
        return undefined;
      }
      if (from < this.#compactedAt) {
        const message = `versions up to ${this.#compactedAt} are compacted`;
        subscriber.error({ code: 'version_too_old', message } satisfies StoreError);
        return undefined;
      }
      const watcher = { prefix, subscriber };
      subscriber.next({ kind: 'opened', version: this.#version });
      this.#history.filter((change) => change.version > from)
        .forEach((change) => this.#deliver(watcher, change.event));
      this.#watchers.add(watcher);
      return () => this.#watchers.delete(watcher);
    });
  }

  #visibleSnapshot(): {
    readonly version: number;
    readonly objects: ReadonlyMap<string, StoredObject>;
  } {
    if (this.#faults.staleReads) return this.#staleSnapshot;
    return { version: this.#version, objects: this.#objects };
  }

  #count(kind: CallKind, use: CallClass): void {
    this.#counts[kind] += 1;
    this.#byClass[use] += 1;
  }

  async #call<Value>(
    kind: 'reads' | 'writes',
    use: CallClass,
    effect: () => Result<Value, StoreError>,
  ): Promise<Result<Value, StoreError>> {
    this.#count(kind, use);
    const limit = kind === 'reads' ? this.#faults.readsPerSecond : this.#faults.writesPerSecond;
    if (this.#faults.outage) return failure('unavailable', 'outage');
    if (!this.#rates[kind].admit(this.#scheduler.now(), limit)) {
      return failure('rate_limited', `more than ${limit} ${kind} in a second`);
    }
    const oneWayMs = this.#faults.latencyMs / 2;
    await this.#pause(oneWayMs);
    const result = effect();
    await this.#pause(oneWayMs);
    return result;
  }

  async #write<Value>(
    use: CallClass,
    effect: () => Result<Value, StoreError>,
  ): Promise<Result<Value, StoreError>> {
    const writeLost = this.#random.fraction() < this.#faults.lostWrites;
    const answerLost = this.#random.fraction() < this.#faults.lostAnswers;
    const lost = () => failure('ambiguous', 'the answer was lost');
    const { lateWritesMs } = this.#faults;
    const writeLater = () => {
      this.#scheduler.schedule(() => effect(), lateWritesMs);
      return lost();
    };
    const write = lateWritesMs > 0 ? writeLater : effect;
    const result = await this.#call('writes', use, writeLost ? lost : write);
    return result.isOk() && answerLost ? lost() : result;
  }

  async #pause(delayMs: number): Promise<void> {
    if (delayMs <= 0) return;
    await new Promise<void>((resolve) => {
      this.#scheduler.schedule(() => resolve(), delayMs);
    });
  }

  #record(event: Mutation): void {
    this.#history.push({ version: this.#version, event });
    if (this.#history.length > MAX_HISTORY) {
      this.#compactedAt = this.#history.shift()!.version;
    }
    [...this.#watchers].forEach((watcher) => this.#deliver(watcher, event));
  }

  #deliver({ prefix, subscriber }: Watcher, event: Mutation): void {
    if (this.#faults.silentWatches || !nameOf(event).startsWith(prefix)) return;
    const oneWayMs = this.#faults.latencyMs / 2;
    if (oneWayMs <= 0) subscriber.next(event);
    else this.#scheduler.schedule(() => subscriber.next(event), oneWayMs);
  }

  #endWatches(code: StoreErrorCode, message: string): void {
    const watchers = [...this.#watchers];
    this.#watchers.clear();
    watchers.forEach(({ subscriber }) => subscriber.error({ code, message } satisfies StoreError));
  }
}
