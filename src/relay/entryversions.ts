/** Versions at which the entries of a list or record last changed. */

interface Entry<Value> { readonly value: Value; readonly text: string; readonly version: number }

/** Entries that have ended and are still told; older changes are left to full messages. */
const MAX_ENDED = 64;

export class EntryVersions<Value> {
  readonly #entries = new Map<string, Entry<Value>>();

  /** Entries that have ended, the longest ended first. */
  readonly #ended = new Set<string>();

  /** Makes the value that tells that an entry has ended; undefined if that isn't told. */
  readonly #endOf: (value: Value) => Value | undefined;

  #floor = 0;

  private constructor(endOf: (value: Value) => Value | undefined) {
    this.#endOf = endOf;
  }

  static of<Value>(endOf: (value: Value) => Value | undefined): EntryVersions<Value> {
    return new EntryVersions(endOf);
  }

  /** The version since which the changes are known. */
  get floor(): number {
    return this.#floor;
  }

  /** Takes over the current entries; returns whether any changed. */
  observe(current: Iterable<readonly [string, Value]>, version: number): boolean {
    let hasChanged = false;
    const present = new Set<string>();
    // eslint-disable-next-line no-restricted-syntax -- an iterator, read once
    for (const [key, value] of current) {
      present.add(key);
      hasChanged = this.#set(key, value, version) || hasChanged;
      this.#ended.delete(key);
    }
    this.#entries.forEach(({ value }, key) => {
      if (present.has(key) || this.#ended.has(key)) return;
      const end = this.#endOf(value);
      if (end === undefined) this.#entries.delete(key);
      else {
        this.#ended.add(key);
        hasChanged = this.#set(key, end, version) || hasChanged;
      }
    });
    this.#forgetEnded();
    return hasChanged;
  }

  since(version: number): readonly (readonly [string, Value])[] {
    return [...this.#entries].flatMap(([key, entry]) => (
      entry.version > version ? [[key, entry.value] as const] : []));
  }

  #set(key: string, value: Value, version: number): boolean {
    const text = JSON.stringify(value);
    if (this.#entries.get(key)?.text === text) return false;
    this.#entries.set(key, { value, text, version });
    return true;
  }

  #forgetEnded(): void {
    // eslint-disable-next-line no-restricted-syntax -- ends at the first ones
    for (const key of this.#ended) {
      if (this.#ended.size <= MAX_ENDED) break;
      this.#floor = Math.max(this.#floor, this.#entries.get(key)?.version ?? 0);
      this.#ended.delete(key);
      this.#entries.delete(key);
    }
  }
}
