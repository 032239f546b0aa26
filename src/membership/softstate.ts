/**
 * The state that daemons share by their heartbeats: for each daemon its own keys, such as engine
 * loads (`load/<server>`), its configuration's revision (`configuration`), demand by workspace
 * and servers that are leaving. Values are JSON of the publisher's making: readers check them
 * against a schema of their own. They arrive late, and vanish with their publisher.
 */
import { distinctUntilChanged, map } from 'rxjs';
import type { Observable } from 'rxjs';
import type { State } from './state.js';

/** One key of one daemon, as last heard. */
export interface SoftEntry {
  readonly origin: string;
  readonly key: string;
  readonly value: unknown;
  /** When this daemon learned it, in scheduler time. */
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
   * Tells everyone this daemon's value for `key`, `undefined` to withdraw it. Values that change
   * faster than the deployment's size allows are held back, and the latest one is told.
   */
  publish(key: string, value: unknown): void {
    this.#publish(key, value);
  }

  /** All daemons' entries, this one's included, whose keys start with `prefix`. */
  entries(prefix: string): readonly SoftEntry[] {
    return entriesOf(this.#current(), prefix);
  }

  /** The entries now and with each change of one of them. */
  changes(prefix: string): Observable<readonly SoftEntry[]> {
    return this.#states.pipe(
      map((state) => state.entries),
      distinctUntilChanged(),
      map(() => this.entries(prefix)),
      distinctUntilChanged(sameEntries),
    );
  }
}
