/**
 * Tracks the objects and versions of a followed kind, so that stale or repeated changes can be
 * discarded, whichever source they come from.
 */
import type { Listing, StoredObject, WatchEvent } from './objects.js';

/** A change to one object. */
export type StoreChange = Exclude<WatchEvent, { kind: 'opened' }>;

interface Seen {
  readonly version: number;
  /** Undefined once the object is deleted. */
  readonly object: StoredObject | undefined;
}

export class SeenVersions {
  readonly #seen = new Map<string, Seen>();

  #position = 0;

  #newestChange = 0;

  /** An empty record. */
  static of(): SeenVersions {
    return new SeenVersions();
  }

  /** The version up to which no change is missing, from which to open the next watch. */
  get position(): number {
    return this.#position;
  }

  /** The version of the newest change that was admitted. */
  get newestChange(): number {
    return this.#newestChange;
  }

  /** The objects as of `position`. */
  get listing(): Listing {
    const objects = [...this.#seen.values()].flatMap(({ object }) => (object ? [object] : []));
    return { version: this.#position, objects };
  }

  /** Whether the object exists, as far as the changes admitted tell. */
  has(name: string): boolean {
    return this.#seen.get(name)?.object !== undefined;
  }

  /** Returns the change if it is newer than the last one of its object, otherwise nothing. */
  admit(change: StoreChange): StoreChange[] {
    const admitted = this.#admit(change);
    const version = change.kind === 'put' ? change.object.version : change.version;
    this.#position = Math.max(this.#position, version);
    return admitted;
  }

  /** The changes that a listing implies; none if the listing is stale. */
  admitListing({ version, objects }: Listing): StoreChange[] {
    const listed = new Set(objects.map((object) => object.name));
    const gone = [...this.#seen].filter(([name, { object }]) => object && !listed.has(name))
      .map(([name]) => ({ kind: 'delete', name, version } as const));
    const changes = [
      ...objects.map((object) => ({ kind: 'put', object } as const)),
      ...gone,
    ].flatMap((change) => this.#admit(change));
    this.#position = Math.max(this.#position, version);
    return changes;
  }

  #admit(change: StoreChange): StoreChange[] {
    const { name, version } = change.kind === 'put' ? change.object : change;
    const before = this.#seen.get(name);
    // A deletion may have the same version as the object's last change.
    const deleted = change.kind === 'delete' && before?.object && before.version === version;
    if (before && before.version >= version && !deleted) return [];
    this.#seen.set(name, { version, object: change.kind === 'put' ? change.object : undefined });
    if (change.kind === 'delete' && !before?.object) return [];
    this.#newestChange = Math.max(this.#newestChange, version);
    return [change];
  }
}
