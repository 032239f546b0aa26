/**
 * Servers in whose place another entry named one at the same address. That entry may be wrong: once
 * it is given up, the servers before it count again, unless they have left the store since.
 */
import { LRUCache } from 'lru-cache';
import type { ServerEntry } from './serverentry.js';
import type { ServerState } from './serverstate.js';

/**
 * The servers that had an entry's address before. Only an entry that gets requests of the same
 * service replaces them: whether it names the server at its address shows in the answers.
 */
export function replacedBy(
  {
    id, address, service, state,
  }: ServerEntry,
  servers: readonly ServerState[],
): readonly ServerState[] {
  return state !== 'ready' ? [] : servers.filter(({ entry }) => (
    entry.address === address && entry.service === service && entry.id !== id));
}

/** More than the servers that a large deployment replaces while a store's entries last. */
const MAX_SERVERS = 1_024;

interface Superseded { readonly entry: ServerEntry; readonly by: string }

export class SupersededServers {
  readonly #servers = new LRUCache<string, Superseded>({ max: MAX_SERVERS });

  static of(): SupersededServers {
    return new SupersededServers();
  }

  record(entry: ServerEntry, by: string): void {
    this.#servers.set(entry.id, { entry, by });
  }

  /** Called when a server is listed again, or is no longer in the store. */
  forget(id: string): void {
    this.#servers.delete(id);
  }

  /** Returns, and forgets, the servers in whose place a given one stood. */
  take(by: string): readonly ServerEntry[] {
    const taken = [...this.#servers.values()].filter((server) => server.by === by)
      .map(({ entry }) => entry);
    taken.forEach(({ id }) => this.forget(id));
    return taken;
  }
}
