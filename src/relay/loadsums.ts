/** Loads that the other instances report, summed by server when they change. */
import { decodeLoad } from './peermessage.js';
import type { PeerMessage } from './messageschema.js';
import { addLoad, NO_LOAD } from './serverstate.js';
import type { Load } from './serverstate.js';

type Loads = PeerMessage['loads'];

interface ServerLoads {
  readonly byPeer: Map<string, Load>;
  /** Undefined after a change. */
  sum: Load | undefined;
}

export class LoadSums {
  readonly #servers = new Map<string, ServerLoads>();

  private constructor() {
    // Made by `of`.
  }

  static of(): LoadSums {
    return new LoadSums();
  }

  /** Replaces what a peer reported before by what it reports now. */
  replace(peer: string, before: Loads | undefined, now: Loads | undefined): void {
    if (before === now) return;
    Object.keys(before ?? {}).forEach((server) => {
      if (!now || !Object.hasOwn(now, server)) this.#remove(peer, server);
    });
    Object.entries(now ?? {}).forEach(([server, load]) => {
      const known = before && Object.hasOwn(before, server) ? before[server] : undefined;
      if (known && known.every((part, index) => part === load[index])) return;
      this.#set(peer, server, decodeLoad(load));
    });
  }

  /** What all peers together report; undefined if none reports a load. */
  sum(server: string): Load | undefined {
    const loads = this.#servers.get(server);
    if (!loads) return undefined;
    loads.sum ??= [...loads.byPeer.values()].reduce(addLoad, NO_LOAD);
    return loads.sum;
  }

  #set(peer: string, server: string, load: Load): void {
    const loads = this.#servers.get(server) ?? { byPeer: new Map<string, Load>(), sum: undefined };
    loads.byPeer.set(peer, load);
    loads.sum = undefined;
    this.#servers.set(server, loads);
  }

  #remove(peer: string, server: string): void {
    const loads = this.#servers.get(server);
    if (!loads) return;
    loads.byPeer.delete(peer);
    loads.sum = undefined;
    if (loads.byPeer.size === 0) this.#servers.delete(server);
  }
}
