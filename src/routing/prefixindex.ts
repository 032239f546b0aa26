/**
 * Index of the prefix blocks that each engine has cached, as far as this daemon knows. It is built
 * from cache events, which arrive late and with gaps, and from this daemon's own dispatches. Its
 * entries are hints: a wrong one costs prefill time and never changes an answer.
 *
 * The index holds a bounded number of blocks and evicts the least recently used. An engine that
 * clears its cache or returns under a new incarnation gets a new cache id. Entries of the old id
 * needn't be searched for: lookups ignore them, and they are removed when a holder is added to
 * their block.
 */
import { LRUCache } from 'lru-cache';
import type { CacheEvent } from '../engines/engine.js';

const DEFAULT_MAX_BLOCKS = 65_536;
/** Largest number of engines remembered per block. */
const MAX_HOLDERS = 32;
/** A lookup stops after finding this many engines. */
const MAX_FOUND = 32;
/** Time without cache events after which the confidence in an engine's entries has halved. */
const HALF_LIFE_MS = 300_000;
/** Factor by which each lost event reduces the confidence in an engine's entries. */
const CONFIDENCE_PER_LOST_EVENT = 0.9;
/** Fraction of the lost confidence that each event restores. */
const RECOVERY = 0.02;

const KEY_DIGITS = 8;
const HEX = 16;

/** What is known about an engine's cache since it was last empty. */
interface EngineCache {
  readonly id: number;
  readonly engine: string;
  /** Undefined until the first event, as dispatches don't tell the incarnation. */
  readonly incarnation: string | undefined;
  readonly sequence: number;
  readonly confidence: number;
  readonly heardAt: number;
}

/** The number of a prompt's leading blocks that an engine probably has cached. */
export interface PrefixMatch {
  readonly engine: string;
  readonly blocks: number;
  /** From 0 to 1. */
  readonly confidence: number;
}

/** Blocks are stored as 32-bit integers; a collision is just one more wrong hint. */
function keyOf(block: string): number {
  // eslint-disable-next-line no-bitwise
  return Number.parseInt(block.slice(0, KEY_DIGITS), HEX) | 0;
}

export class PrefixIndex {
  readonly #holders: LRUCache<number, number[]>;

  readonly #caches = new Map<string, EngineCache>();

  readonly #engineByCache = new Map<number, string>();

  #nextCacheId = 0;

  private constructor(maxBlocks: number) {
    this.#holders = new LRUCache({ max: maxBlocks });
  }

  static of(maxBlocks = DEFAULT_MAX_BLOCKS): PrefixIndex {
    return new PrefixIndex(maxBlocks);
  }

  get blocks(): number {
    return this.#holders.size;
  }

  /** Applies a cache event of `engine`; late and repeated events can only remove blocks. */
  observe(engine: string, event: CacheEvent, now: number): void {
    const cache = this.#cacheFor(engine, event.incarnation, now);
    const late = event.sequence <= cache.sequence;
    if (event.kind === 'evicted') event.blocks.forEach((block) => this.#remove(block, cache.id));
    if (event.kind === 'stored' && !late) this.#store(event.blocks, cache.id);
    if (late) return;
    const lost = cache.sequence === 0 ? 0 : event.sequence - cache.sequence - 1;
    const confidence = (1 - (1 - cache.confidence) * (1 - RECOVERY))
      * CONFIDENCE_PER_LOST_EVENT ** lost;
    this.#caches.set(engine, {
      ...cache, sequence: event.sequence, confidence, heardAt: now,
    });
    if (event.kind === 'cleared') this.#renew(engine, event.incarnation, event.sequence, now);
  }

  /** Records that a prompt was dispatched to `engine`, which will then cache its blocks. */
  dispatched(engine: string, blocks: readonly string[], now: number): void {
    const cache = this.#caches.get(engine) ?? this.#renew(engine, undefined, 0, now);
    this.#store(blocks, cache.id);
  }

  /** Forgets the entries of an engine that was removed or has a new incarnation. */
  forget(engine: string): void {
    const cache = this.#caches.get(engine);
    if (!cache) return;
    this.#caches.delete(engine);
    this.#engineByCache.delete(cache.id);
  }

  /** Checks the incarnation in an engine's load report; a new one starts with an empty cache. */
  reported(engine: string, incarnation: string, now: number): void {
    if (this.#caches.has(engine)) this.#cacheFor(engine, incarnation, now);
  }

  /** The engines with the longest cached prefixes of `blocks`, longest first. */
  lookup(blocks: readonly string[], now: number): readonly PrefixMatch[] {
    const found: PrefixMatch[] = [];
    const seen = new Set<number>();
    for (let depth = blocks.length; depth > 0 && seen.size < MAX_FOUND; depth -= 1) {
      const holders = this.#holders.get(keyOf(blocks[depth - 1]!));
      // An engine that holds a block almost always holds those before it.
      if (holders && holders.length > seen.size) this.#collect(holders, depth, now, seen, found);
    }
    return found;
  }

  #collect(
    holders: readonly number[],
    depth: number,
    now: number,
    seen: Set<number>,
    found: PrefixMatch[],
  ): void {
    holders.forEach((cacheId) => {
      const engine = this.#engineByCache.get(cacheId);
      if (engine === undefined || seen.has(cacheId)) return;
      seen.add(cacheId);
      found.push({ engine, blocks: depth, confidence: this.#confidence(engine, now) });
    });
  }

  #confidence(engine: string, now: number): number {
    const cache = this.#caches.get(engine);
    if (!cache) return 0;
    return cache.confidence * 0.5 ** ((now - cache.heardAt) / HALF_LIFE_MS);
  }

  #cacheFor(engine: string, incarnation: string, now: number): EngineCache {
    const cache = this.#caches.get(engine);
    if (cache?.incarnation === incarnation) return cache;
    if (cache && cache.incarnation === undefined) {
      const named = { ...cache, incarnation };
      this.#caches.set(engine, named);
      return named;
    }
    return this.#renew(engine, incarnation, 0, now);
  }

  #renew(
    engine: string,
    incarnation: string | undefined,
    sequence: number,
    now: number,
  ): EngineCache {
    this.forget(engine);
    const cache: EngineCache = {
      id: this.#nextCacheId, engine, incarnation, sequence, confidence: 1, heardAt: now,
    };
    this.#nextCacheId += 1;
    this.#caches.set(engine, cache);
    this.#engineByCache.set(cache.id, engine);
    return cache;
  }

  #store(blocks: readonly string[], cacheId: number): void {
    blocks.forEach((block) => {
      const key = keyOf(block);
      const holders = this.#holders.get(key);
      if (holders?.includes(cacheId)) return;
      if (!holders) {
        this.#holders.set(key, [cacheId]);
        return;
      }
      const live = holders.filter((holder) => this.#engineByCache.has(holder));
      this.#holders.set(key, [...live, cacheId].slice(-MAX_HOLDERS));
    });
  }

  #remove(block: string, cacheId: number): void {
    const key = keyOf(block);
    const holders = this.#holders.peek(key)?.filter((holder) => holder !== cacheId);
    if (!holders) return;
    if (holders.length === 0) this.#holders.delete(key);
    else this.#holders.set(key, holders);
  }
}
