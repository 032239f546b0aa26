/**
 * The soft state that daemons share through heartbeats. Each daemon publishes its own keys, such
 * as engine loads (`load/<server>`), its configuration's revision (`configuration`), demand by
 * workspace, and servers that are leaving. Values are arbitrary JSON, which readers must validate.
 * They arrive with a delay, and disappear when their publisher dies.
 */
import { distinctUntilChanged, map } from 'rxjs';
import type { Observable } from 'rxjs';
import type { State } from './state.js';

/** The last known value of one daemon's key. */
export interface SoftEntry {
  readonly origin: string;
  readonly key: string;
  readonly value: unknown;
  /** When this daemon learned the value, in scheduler time. */
  readonly learnedAt: number;
}

function entriesOf(state: State, prefix: string): readonly SoftEntry[] {
  return [...state.entries.values()]
    .filter((entry) => entry.key.startsWith(prefix) && entry.value !== undefined)
    .map(({
      origin, key, value, changedAt,
    }) => ({
      origin, key, value, learnedAt: changedAt,
    }));
}

function sameEntries(left: readonly SoftEntry[], right: readonly SoftEntry[]): boolean {
  return left.length === right.length
    && left.every((entry, index) => entry.value === right[index]!.value);
}

export class SoftState {
  readonly #states: Observable<State>;

  readonly #current: () => State;

  readonly #publish: (key: string, value: unknown) => void;

  private constructor(
    states: Observable<State>,
    current: () => State,
    publish: (key: string, value: unknown) => void,
  ) {
    this.#states = states;
    this.#current = current;
    this.#publish = publish;
  }

  static of(
    states: Observable<State>,
    current: () => State,
    publish: (key: string, value: unknown) => void,
  ): SoftState {
    return new SoftState(states, current, publish);
  }

  /**
   * Publishes this daemon's value for `key` to all members; `undefined` withdraws it. Values that
   * change faster than the bandwidth allows are coalesced, and only the latest is published.
   */
  publish(key: string, value: unknown): void {
    this.#publish(key, value);
  }

  /** The entries of all daemons, including this one, whose keys start with `prefix`. */
  entries(prefix: string): readonly SoftEntry[] {
    return entriesOf(this.#current(), prefix);
  }

  /** Emits the current entries, and again whenever one of them changes. */
  changes(prefix: string): Observable<readonly SoftEntry[]> {
    return this.#states.pipe(
      map((state) => state.entries),
      distinctUntilChanged(),
      map(() => this.entries(prefix)),
      distinctUntilChanged(sameEntries),
    );
  }
}
