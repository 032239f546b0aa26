/** Decides which peers get a message when: full ones, urgent ones and changes. */
import type { Random } from '../common/random.js';

/** Peers that get a message at once at most, so that the cost doesn't grow with their number. */
export const PEERS_AT_ONCE = 12;
/** How often an urgent message is repeated, as far as there are not more peers to tell. */
const NEWS_ROUNDS = 3;
/** Messages of changes that are sent each second at most, and how many may be saved up. */
const CHANGES_PER_SECOND = 40;
const MAX_CHANGES_SAVED = 40;
/** Spreads the full messages of instances that began together. */
const SPREAD = 0.1;

interface Told {
  /** When the next full message is due. */
  readonly fullAt: number;
  /** Version of the last message, and of the one before. */
  readonly version: number;
  readonly before: number;
}

const UNTOLD: Told = { fullAt: -Infinity, version: 0, before: 0 };

export class PeerSchedule {
  readonly #random: Random;

  readonly #told = new Map<string, Told>();

  /** Peers that get urgent messages, and how often. */
  readonly #news = new Map<string, number>();

  #nextPeer = 0;

  #allowance = MAX_CHANGES_SAVED;

  #filledAt = 0;

  private constructor(random: Random) {
    this.#random = random;
  }

  static of(random: Random): PeerSchedule {
    return new PeerSchedule(random);
  }

  /** Forgets peers that are gone. */
  keep(known: readonly string[]): void {
    if (this.#told.size <= known.length) return;
    const kept = new Set(known);
    [...this.#told.keys()].filter((ip) => !kept.has(ip)).forEach((ip) => {
      this.#told.delete(ip);
      this.#news.delete(ip);
    });
  }

  /** A peer that knows nothing of this instance gets a full message next. */
  restart(ip: string): void {
    this.#told.delete(ip);
  }

  /** The peers whose full message is due, the longest due first. */
  due(known: readonly string[], now: number): readonly string[] {
    const dueAt = (ip: string) => (this.#told.get(ip) ?? UNTOLD).fullAt;
    return known.filter((ip) => dueAt(ip) <= now)
      .sort((left, right) => dueAt(left) - dueAt(right) || 0).slice(0, PEERS_AT_ONCE);
  }

  markFull(ip: string, version: number, nextAt: number, now: number): void {
    const known = this.#told.get(ip) ?? UNTOLD;
    const fullAt = now + this.#random.jitter(nextAt - now, SPREAD);
    this.#told.set(ip, { fullAt, version, before: known.version });
  }

  markChanges(ip: string, version: number): void {
    const known = this.#told.get(ip) ?? UNTOLD;
    this.#told.set(ip, { ...known, version, before: known.version });
    this.#allowance -= 1;
  }

  /** Version of the last message to a peer; 0 if there was none. */
  version(ip: string): number {
    return (this.#told.get(ip) ?? UNTOLD).version;
  }

  /** Since when a peer is told changes: what the last message told is repeated once. */
  since(ip: string): number {
    const { version, before } = this.#told.get(ip) ?? UNTOLD;
    return before === 0 ? version : before;
  }

  /** Consecutive peers, after those that this returned last. */
  #inTurn(ips: readonly string[], count: number): readonly string[] {
    if (ips.length <= count) return ips;
    const from = this.#nextPeer % ips.length;
    this.#nextPeer += count;
    return [...ips.slice(from), ...ips.slice(0, from)].slice(0, count);
  }

  /**
   * Queues an urgent message. Among many instances each that learns of it tells some others.
   * @param isForAll whether nobody else tells it
   */
  addNews(known: readonly string[], isForAll: boolean): void {
    const rounds = known.length <= PEERS_AT_ONCE ? NEWS_ROUNDS : 1;
    const peers = isForAll ? known : this.#inTurn(known, PEERS_AT_ONCE * NEWS_ROUNDS);
    peers.forEach((ip) => this.#news.set(ip, rounds));
  }

  /** The next peers that get an urgent message. */
  takeNews(count: number): readonly string[] {
    const peers = [...this.#news.keys()].slice(0, count);
    peers.forEach((ip) => {
      const left = this.#news.get(ip)! - 1;
      this.#news.delete(ip);
      if (left > 0) this.#news.set(ip, left);
    });
    return peers;
  }

  /** How many peers get an urgent message in an interval, so that all have one in three. */
  get newsAtOnce(): number {
    return Math.max(PEERS_AT_ONCE, Math.ceil(this.#news.size / 2));
  }

  /** Those of the peers that are told changes now. */
  takeChanges(untold: readonly string[], now: number): readonly string[] {
    const earned = ((now - this.#filledAt) * CHANGES_PER_SECOND) / 1_000;
    this.#allowance = Math.min(MAX_CHANGES_SAVED, this.#allowance + earned);
    this.#filledAt = now;
    if (untold.length === 0) return [];
    return this.#inTurn(untold, Math.min(PEERS_AT_ONCE, Math.floor(this.#allowance)));
  }
}
