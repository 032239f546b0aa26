/**
 * After a restore the store lists the entries of its backup, also those of servers that have left
 * since. A removed server whose entry comes back in this way is held back until the entry is
 * written again, or has been listed for longer than the entry of a server that has ended.
 */
import { epochOf } from '../store/epoch.js';
import type { StoreChange } from '../store/versions.js';

type Put = Extract<StoreChange, { kind: 'put' }>;

/** Backups are some seconds old. */
const REMEMBERED_MS = 60_000;

interface Removal { readonly epoch: number; readonly at: number }

interface HeldEntry { readonly change: Put; readonly since: number }

export class RestoredEntries {
  readonly #holdMs: number;

  readonly #removals = new Map<string, Removal>();

  readonly #held = new Map<string, HeldEntry>();

  private constructor(holdMs: number) {
    this.#holdMs = holdMs;
  }

  /** @param holdMs how long a server that has ended can stay listed */
  static of(holdMs: number): RestoredEntries {
    return new RestoredEntries(holdMs);
  }

  /** Called when an entry is no longer in the store. */
  recordRemoval(id: string, version: number, now: number): void {
    this.#held.delete(id);
    this.#removals.set(id, { epoch: epochOf(version), at: now });
  }

  /** Returns whether an entry has to be held back, and keeps it if so. */
  holdBack(change: Put, now: number): boolean {
    const { name, version } = change.object;
    const removal = this.#removals.get(name);
    if (!removal || removal.epoch >= epochOf(version) || this.#held.has(name)) {
      this.#forget(name);
      return false;
    }
    this.#held.set(name, { change, since: now });
    return true;
  }

  /** Entries that need not be held back any longer. */
  release(now: number): readonly Put[] {
    this.#removals.forEach(({ at }, id) => {
      if (now - at > REMEMBERED_MS && !this.#held.has(id)) this.#removals.delete(id);
    });
    const released = [...this.#held.values()].filter(({ since }) => now - since >= this.#holdMs)
      .map(({ change }) => change);
    released.forEach(({ object }) => this.#forget(object.name));
    return released;
  }

  #forget(id: string): void {
    this.#removals.delete(id);
    this.#held.delete(id);
  }
}
