/** Tracks the versions of followed objects, so that stale or repeated changes can be discarded. */
import type { Listing, WatchEvent } from './objects.js';

/** A change to one object. */
export type StoreChange = Exclude<WatchEvent, { kind: 'opened' }>;

interface Seen { readonly version: number; readonly present: boolean }

export class SeenVersions {
  readonly #seen = new Map<string, Seen>();

  #position = 0;

  /** An empty record. */
  static of(): SeenVersions {
    return new SeenVersions();
  }

  /** The version from which to open the next watch. */
  get position(): number {
    return this.#position;
  }

  /** Returns the change if it is newer than the last one of its object, otherwise nothing. */
  admit(change: StoreChange): StoreChange[] {
    const [name, version] = change.kind === 'put'
      ? [change.object.name, change.object.version]
      : [change.name, change.version];
    const before = this.#seen.get(name);
    // A deletion may have the same version as the object's last change.
    const deleted = change.kind === 'delete' && before?.present && before.version === version;
    if (before && before.version >= version && !deleted) return [];
    this.#seen.set(name, { version, present: change.kind === 'put' });
    this.#position = Math.max(this.#position, version);
    if (change.kind === 'delete' && !before?.present) return [];
    return [change];
  }

  /** The changes that a listing implies; none if the listing is stale. */
  admitListing({ version, objects }: Listing): StoreChange[] {
    const listed = new Set(objects.map((object) => object.name));
    const gone = [...this.#seen].filter(([name, seen]) => seen.present && !listed.has(name))
      .map(([name]) => ({ kind: 'delete', name, version } as const));
    const changes = [
      ...objects.map((object) => ({ kind: 'put', object } as const)),
      ...gone,
    ].flatMap((change) => this.admit(change));
    this.#position = Math.max(this.#position, version);
    return changes;
  }
}
