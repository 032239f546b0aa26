/** What this instance knows of the other instances from their messages. */
import { LoadSums } from './loadsums.js';
import { withChanges } from './messagechanges.js';
import type { PeerMessage } from './messageschema.js';
import { outdatedMs, timeoutMs } from './peerpacing.js';
import type { Load } from './serverstate.js';

/** Peers other than seeds are removed after this time without a sign of life. */
const PEER_EVICTION_MS = 30_000;
/** More than a deployment has; bounds what a peer can claim. */
const MAX_INSTANCES = 1_000;

export interface Peer {
  /** When it last lived for certain, by its own messages or by those of others. */
  readonly heardAt: number;
  /** When its last message came. */
  readonly directAt: number;
  /** Its last full message with the changes since; undefined if it is lost. */
  readonly message: PeerMessage | undefined;
  /** What could not be read of its last message, so that it is logged once. */
  readonly unread?: string | undefined;
}

/** A peer that has just been found to be lost. */
export interface LostPeer { readonly ip: string; readonly silentMs: number }

/** The last message with what a newer one tells; undefined while only changes are known. */
function merged(
  previous: PeerMessage | undefined,
  message: PeerMessage,
): PeerMessage | undefined {
  const [process, version, since] = message.state;
  const known = previous?.state[0] === process ? previous : undefined;
  const isLate = known !== undefined && process !== 0 && version < known.state[1];
  if (isLate) return known;
  if (since === 0) return message;
  if (!known) return previous;
  return { ...withChanges(known, message), state: message.state };
}

export class PeerTable {
  readonly #ip: string;

  readonly #seeds: readonly string[];

  readonly #peers = new Map<string, Peer>();

  readonly #sums = LoadSums.of();

  private constructor(ip: string, seeds: readonly string[], now: number) {
    this.#ip = ip;
    this.#seeds = seeds.filter((seed) => seed !== ip && seed !== '');
    this.#seeds.forEach((seed) => this.#add(seed, now));
  }

  static of(ip: string, seeds: readonly string[], now: number): PeerTable {
    return new PeerTable(ip, seeds, now);
  }

  /** IP addresses of all peers, live or not. */
  get known(): readonly string[] {
    return [...this.#peers.keys()];
  }

  peer(ip: string): Peer | undefined {
    return this.#peers.get(ip);
  }

  /** The number of instances by which peers pace their messages, as far as this one knows. */
  get instances(): number {
    return this.#peers.size + 1;
  }

  /** The last message of each live peer, with the peer's IP address. */
  live(now: number): readonly (readonly [string, PeerMessage])[] {
    return [...this.#peers].flatMap(([ip, peer]) => (
      peer.message && !this.#isSilent(peer, now) ? [[ip, peer.message] as const] : []));
  }

  /** Load that the other instances have assigned to a server; undefined if none has. */
  load(server: string): Load | undefined {
    return this.#sums.sum(server);
  }

  /** Whether a peer counts as lost, as judged by every use of its last message. */
  #isSilent({ heardAt, directAt, message }: Peer, now: number): boolean {
    const count = Math.max(this.instances, Math.min(message?.instances ?? 0, MAX_INSTANCES));
    return now - heardAt > timeoutMs(count) || now - directAt > outdatedMs(count);
  }

  #add(ip: string, now: number): void {
    this.#peers.set(ip, { heardAt: now, directAt: now, message: undefined });
  }

  /** Takes over a message; returns the peer as it was and as it is. */
  receive(
    ip: string,
    message: PeerMessage,
    now: number,
  ): { readonly before: PeerMessage | undefined; readonly after: PeerMessage | undefined } {
    const peer = this.#peers.get(ip);
    const before = peer?.message;
    const after = merged(before, message);
    this.#sums.replace(ip, before?.loads, after?.loads);
    this.#peers.set(ip, {
      ...peer, heardAt: now, directAt: now, message: after,
    });
    message.peers.forEach((other, index) => (
      this.#hearOf(other, message.ages[index], now)));
    return { before, after };
  }

  /** Notes what another instance tells of a peer. */
  #hearOf(ip: string, ageMs: number | undefined, now: number): void {
    if (ip === this.#ip) return;
    const peer = this.#peers.get(ip);
    if (!peer) this.#add(ip, now);
    else if (ageMs !== undefined && now - ageMs > peer.heardAt) {
      this.#peers.set(ip, { ...peer, heardAt: now - ageMs });
    }
  }

  /** Notes that a message of a peer can't be read, or not whole: it lives nonetheless. */
  noteUnread(ip: string, unread: string, now: number): void {
    const peer = this.#peers.get(ip);
    if (peer) {
      this.#peers.set(ip, {
        ...peer, heardAt: now, directAt: now, unread,
      });
    }
  }

  /** Drops the messages of silent peers and, unless they are seeds, the peers themselves. */
  expire(now: number): readonly LostPeer[] {
    return [...this.#peers].flatMap(([ip, peer]) => {
      const silentMs = now - Math.max(peer.heardAt, peer.directAt);
      if (silentMs > PEER_EVICTION_MS && !this.#seeds.includes(ip)) this.#peers.delete(ip);
      if (!peer.message || !this.#isSilent(peer, now)) return [];
      this.#sums.replace(ip, peer.message.loads, undefined);
      if (this.#peers.has(ip)) this.#peers.set(ip, { ...peer, message: undefined });
      return [{ ip, silentMs }];
    });
  }
}
