/**
 * What changed in the loads, the rooms used by workspaces and the origins of streams that this
 * instance tells, so that partial messages carry changes only. Each entry has the version at which
 * it last changed; a receiver that knows all up to a version needs the entries after it.
 */
import { EntryVersions } from './entryversions.js';
import type { PeerMessage } from './messageschema.js';

/** What a partial message carries beside the sender. */
export type Changes = Pick<PeerMessage, 'loads' | 'uses' | 'origins'>;

type Load = PeerMessage['loads'][string];
type Use = PeerMessage['uses'][number];
type Origin = PeerMessage['origins'][number];

const NOTHING: Load = [0, 0, 0, 0];

export class MessageChanges {
  readonly #loads = EntryVersions.of<Load>(() => NOTHING);

  readonly #uses = EntryVersions.of<Use>(([service, workspace]) => [service, workspace, 0]);

  readonly #origins = EntryVersions.of<Origin>(() => undefined);

  /** 1 before anything has changed; 0 stands for nothing known. */
  #version = 1;

  private constructor() {
    // Made by `of`.
  }

  static of(): MessageChanges {
    return new MessageChanges();
  }

  get version(): number {
    return this.#version;
  }

  /** Notes what a full message tells now; returns its version. */
  observe({ loads, uses, origins }: Changes): number {
    const next = this.#version + 1;
    const changed = [
      this.#loads.observe(Object.entries(loads), next),
      this.#uses.observe(uses.map((use) => [`${use[0]}\n${use[1]}`, use]), next),
      this.#origins.observe(origins.map((origin) => [origin[0], origin]), next),
    ];
    if (changed.includes(true)) this.#version = next;
    return this.#version;
  }

  /** All that changed after a version; undefined if that is no longer known. */
  since(version: number): Changes | undefined {
    if (version < Math.max(1, this.#loads.floor, this.#uses.floor)) return undefined;
    return {
      loads: Object.fromEntries(this.#loads.since(version)),
      uses: this.#uses.since(version).map(([, use]) => use),
      origins: this.#origins.since(version).map(([, origin]) => origin),
    };
  }
}

/** The last message of a peer with the changes of a partial one. */
export function withChanges(message: PeerMessage, { loads, uses }: Changes): PeerMessage {
  const changed = new Set(uses.map(([service, workspace]) => `${service}\n${workspace}`));
  const kept = message.uses
    .filter(([service, workspace]) => !changed.has(`${service}\n${workspace}`));
  const merged = Object.entries({ ...message.loads, ...loads })
    .filter(([, load]) => load.some((part) => part !== 0));
  return {
    ...message,
    loads: Object.fromEntries(merged),
    uses: [...kept, ...uses.filter(([, , tokens]) => tokens > 0)],
  };
}
