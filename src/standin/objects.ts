/**
 * A stand-in for the platform's object API, held in memory, for tests and trials. It counts every
 * call, a waiting watch as one, and has faults that can be switched while it runs.
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
const HISTORY_CHANGES = 10_000;

/** Faults of the stand-in. Fractions go from 0 to 1; a rate of 0 is no limit. */
export interface ObjectFaults {
  /** Every call is refused and every open watch ends. */
  readonly outage: boolean;
  /** Time from a call to its answer; the effect comes halfway. */
  readonly latencyMs: number;
  /** Fraction of writes that take effect while their answer is lost. */
  readonly lostAnswers: number;
  /** Fraction of writes that are lost before they take effect, with the same answer. */
  readonly lostWrites: number;
  /** Writes are answered as ambiguous and take effect this much later; 0 is off. */
  readonly lateWritesMs: number;
  /** Reads answer from the state at the time when this was switched on. */
  readonly staleReads: boolean;
  /** Watches stay open and deliver nothing; what they miss is not delivered later. */
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

/** Calls received so far, those that were refused or lost included. */
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

function fail(code: StoreErrorCode, message: string): Result<never, StoreError> {
  return err({ code, message });
}

export class MemoryObjects implements ObjectApi {
  readonly #scheduler: SchedulerLike;

  readonly #random: Random;

  #faults = NO_FAULTS;

  #version = 0;

  #compactedAt = 0;

  #objects = new Map<string, StoredObject>();

  #stale: { readonly version: number; readonly objects: ReadonlyMap<string, StoredObject> };

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
    this.#stale = { version: 0, objects: new Map() };
  }

  static of(scheduler: SchedulerLike, random: Random): MemoryObjects {
    return new MemoryObjects(scheduler, random);
  }

  /** Switches the given faults and leaves the others as they are. */
  setFaults(change: Partial<ObjectFaults>): void {
    const before = this.#faults;
    this.#faults = { ...before, ...change };
    if (this.#faults.staleReads && !before.staleReads) {
      this.#stale = { version: this.#version, objects: new Map(this.#objects) };
    }
    if (this.#faults.outage) this.#endWatches('unavailable', 'outage');
  }

  faults(): ObjectFaults {
    return this.#faults;
  }

  counts(): CallCounts {
    return { ...this.#counts, byClass: { ...this.#byClass } };
  }

  /** Forgets past changes: a watch from an older version now fails with `version_too_old`. */
  compact(): void {
    this.#compactedAt = this.#version;
    this.#history.length = 0;
    this.#endWatches('version_too_old', 'compacted');
  }

  get(name: string, use: CallClass): Promise<Result<StoredObject, StoreError>> {
    return this.#call('reads', use, () => {
      const object = this.#readable().objects.get(name);
      return object ? ok(object) : fail('not_found', `no object ${name}`);
    });
  }

  list(prefix: string, use: CallClass): Promise<Result<Listing, StoreError>> {
    return this.#call('reads', use, () => {
      const { version, objects } = this.#readable();
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
        return fail('too_large', `${name} is larger than ${MAX_VALUE_BYTES} bytes`);
      }
      const held = this.#objects.get(name)?.version;
      const wanted = expected.kind === 'version' ? expected.version : undefined;
      if (held !== wanted) {
        return fail('conflict', `${name} is at version ${held ?? 'none'}, not ${wanted ?? 'none'}`);
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
      const held = this.#objects.get(name)?.version;
      if (held === undefined) return fail('not_found', `no object ${name}`);
      if (held !== version) return fail('conflict', `${name} is at version ${held}`);
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

  #readable(): { readonly version: number; readonly objects: ReadonlyMap<string, StoredObject> } {
    if (this.#faults.staleReads) return this.#stale;
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
    if (this.#faults.outage) return fail('unavailable', 'outage');
    if (!this.#rates[kind].admit(this.#scheduler.now(), limit)) {
      return fail('rate_limited', `more than ${limit} ${kind} in a second`);
    }
    const halfMs = this.#faults.latencyMs / 2;
    await this.#pause(halfMs);
    const result = effect();
    await this.#pause(halfMs);
    return result;
  }

  async #write<Value>(
    use: CallClass,
    effect: () => Result<Value, StoreError>,
  ): Promise<Result<Value, StoreError>> {
    const lostBefore = this.#random.fraction() < this.#faults.lostWrites;
    const lostAfter = this.#random.fraction() < this.#faults.lostAnswers;
    const lost = () => fail('ambiguous', 'the answer was lost');
    const { lateWritesMs } = this.#faults;
    const late = () => {
      this.#scheduler.schedule(() => effect(), lateWritesMs);
      return lost();
    };
    const sent = lateWritesMs > 0 ? late : effect;
    const result = await this.#call('writes', use, lostBefore ? lost : sent);
    return result.isOk() && lostAfter ? lost() : result;
  }

  async #pause(delayMs: number): Promise<void> {
    if (delayMs <= 0) return;
    await new Promise<void>((resolve) => {
      this.#scheduler.schedule(() => resolve(), delayMs);
    });
  }

  #record(event: Mutation): void {
    this.#history.push({ version: this.#version, event });
    if (this.#history.length > HISTORY_CHANGES) {
      this.#compactedAt = this.#history.shift()!.version;
    }
    [...this.#watchers].forEach((watcher) => this.#deliver(watcher, event));
  }

  #deliver({ prefix, subscriber }: Watcher, event: Mutation): void {
    if (this.#faults.silentWatches || !nameOf(event).startsWith(prefix)) return;
    const halfMs = this.#faults.latencyMs / 2;
    if (halfMs <= 0) subscriber.next(event);
    else this.#scheduler.schedule(() => subscriber.next(event), halfMs);
  }

  #endWatches(code: StoreErrorCode, message: string): void {
    const ended = [...this.#watchers];
    this.#watchers.clear();
    ended.forEach(({ subscriber }) => subscriber.error({ code, message } satisfies StoreError));
  }
}
