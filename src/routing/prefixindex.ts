/**
 * Index of the prefix blocks that each engine has cached, as far as this daemon knows. It is built
 * from cache events, which arrive late and with gaps, and from this daemon's own dispatches. Its
 * entries are hints: a wrong one costs prefill time and never changes an answer.
 *
 * The index holds a bounded number of blocks and evicts the least recently used. An engine that
 * clears its cache or returns under a new incarnation gets a new slot number. Entries of the old
 * number needn't be searched for: lookups ignore them, and they are removed when a holder is added
 * to their block.
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

interface Slot {
  readonly number: number;
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

  readonly #slots = new Map<string, Slot>();

  readonly #engines = new Map<number, string>();

  #nextSlot = 0;

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
    const slot = this.#slotFor(engine, event.incarnation, now);
    const late = event.sequence <= slot.sequence;
    if (event.kind === 'evicted') event.blocks.forEach((block) => this.#remove(block, slot.number));
    if (event.kind === 'stored' && !late) this.#store(event.blocks, slot.number);
    if (late) return;
    const lost = slot.sequence === 0 ? 0 : event.sequence - slot.sequence - 1;
    const confidence = (1 - (1 - slot.confidence) * (1 - RECOVERY))
      * CONFIDENCE_PER_LOST_EVENT ** lost;
    this.#slots.set(engine, {
      ...slot, sequence: event.sequence, confidence, heardAt: now,
    });
    if (event.kind === 'cleared') this.#renew(engine, event.incarnation, event.sequence, now);
  }

  /** Records that a prompt was dispatched to `engine`, which will then cache its blocks. */
  dispatched(engine: string, blocks: readonly string[], now: number): void {
    const slot = this.#slots.get(engine) ?? this.#renew(engine, undefined, 0, now);
    this.#store(blocks, slot.number);
  }

  /** Forgets the entries of an engine that was removed or has a new incarnation. */
  forget(engine: string): void {
    const slot = this.#slots.get(engine);
    if (!slot) return;
    this.#slots.delete(engine);
    this.#engines.delete(slot.number);
  }

  /** Checks the incarnation in an engine's load report; a new one starts with an empty cache. */
  reported(engine: string, incarnation: string, now: number): void {
    if (this.#slots.has(engine)) this.#slotFor(engine, incarnation, now);
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
    holders.forEach((number) => {
      const engine = this.#engines.get(number);
      if (engine === undefined || seen.has(number)) return;
      seen.add(number);
      found.push({ engine, blocks: depth, confidence: this.#confidence(engine, now) });
    });
  }

  #confidence(engine: string, now: number): number {
    const slot = this.#slots.get(engine);
    if (!slot) return 0;
    return slot.confidence * 0.5 ** ((now - slot.heardAt) / HALF_LIFE_MS);
  }

  #slotFor(engine: string, incarnation: string, now: number): Slot {
    const slot = this.#slots.get(engine);
    if (slot?.incarnation === incarnation) return slot;
    if (slot && slot.incarnation === undefined) {
      const named = { ...slot, incarnation };
      this.#slots.set(engine, named);
      return named;
    }
    return this.#renew(engine, incarnation, 0, now);
  }

  #renew(engine: string, incarnation: string | undefined, sequence: number, now: number): Slot {
    this.forget(engine);
    const slot: Slot = {
      number: this.#nextSlot, engine, incarnation, sequence, confidence: 1, heardAt: now,
    };
    this.#nextSlot += 1;
    this.#slots.set(engine, slot);
    this.#engines.set(slot.number, engine);
    return slot;
  }

  #store(blocks: readonly string[], number: number): void {
    blocks.forEach((block) => {
      const key = keyOf(block);
      const holders = this.#holders.get(key);
      if (holders?.includes(number)) return;
      if (!holders) {
        this.#holders.set(key, [number]);
        return;
      }
      const live = holders.filter((holder) => this.#engines.has(holder));
      this.#holders.set(key, [...live, number].slice(-MAX_HOLDERS));
    });
  }

  #remove(block: string, number: number): void {
    const key = keyOf(block);
    const holders = this.#holders.peek(key)?.filter((holder) => holder !== number);
    if (!holders) return;
    if (holders.length === 0) this.#holders.delete(key);
    else this.#holders.set(key, holders);
  }
}
