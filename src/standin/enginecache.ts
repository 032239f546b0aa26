/** The bounded prefix cache of a stand-in engine, with its cache events. */
import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';
import type { CacheEvent } from '../engines/engine.js';

export class EngineCache {
  readonly #capacityBlocks: number;

  readonly #blocks = new Set<string>();

  readonly #events = new Subject<CacheEvent>();

  #incarnation: string;

  #sequence = 0;

  private constructor(capacityBlocks: number, incarnation: string) {
    this.#capacityBlocks = capacityBlocks;
    this.#incarnation = incarnation;
  }

  static of(capacityBlocks: number, incarnation: string): EngineCache {
    return new EngineCache(capacityBlocks, incarnation);
  }

  get events(): Observable<CacheEvent> {
    return this.#events.asObservable();
  }

  /** Number of cached blocks. */
  get size(): number {
    return this.#blocks.size;
  }

  /** Caches the blocks and evicts the oldest above capacity; returns the fraction of misses. */
  add(blocks: readonly string[]): number {
    const missing = blocks.filter((block) => !this.#blocks.has(block));
    missing.forEach((block) => this.#blocks.add(block));
    if (missing.length > 0) this.#publish('stored', missing);
    this.#evict();
    return blocks.length === 0 ? 1 : missing.length / blocks.length;
  }

  /** Clears the cache for a new incarnation of the engine. */
  restart(incarnation: string): void {
    this.#blocks.clear();
    this.#incarnation = incarnation;
    this.#sequence = 0;
  }

  #evict(): void {
    const excess = this.#blocks.size - this.#capacityBlocks;
    if (excess <= 0) return;
    const oldest = [...this.#blocks].slice(0, excess);
    oldest.forEach((block) => this.#blocks.delete(block));
    this.#publish('evicted', oldest);
  }

  #publish(kind: CacheEvent['kind'], blocks: readonly string[]): void {
    this.#sequence += 1;
    this.#events.next({
      incarnation: this.#incarnation, sequence: this.#sequence, kind, blocks,
    });
  }
}
