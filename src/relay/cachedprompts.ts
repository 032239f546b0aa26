/**
 * Finds the engines that still have a reconnecting caller's prompt cached. Engines keep a prompt's
 * KV cache until other prompts evict it, so a stream whose daemon was lost can resume on its engine
 * without another prefill. Engines are queried only when a caller reconnects: callers reconnect
 * together after a loss, and one lookup serves all that come before it expires.
 */
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Connections } from './connections.js';
import type { PromptPart } from './dialect.js';
import { fetchBody } from './exchange.js';
import type { ServerEntry } from './serverentry.js';

/** Longest delay for a reconnecting caller: half the prefill of a short prompt. */
const QUERY_TIMEOUT_MS = 150;
/** Lifetime of a lookup: shorter than the prefill of a prompt that evicts another. */
const LOOKUP_TTL_MS = 1_000;

/** Ten thousand parts. */
const MAX_LIST_BYTES = 1_048_576;
/** Shared by the lists of all engines that one lookup reads at once. */
const MAX_LOOKUP_BYTES = 16_777_216;

/** Cached tokens of each prompt part, by the part's id. */
export type CachedParts = ReadonlyMap<string, number>;

/** The platform's request for the prompt parts that an engine has cached. */
export interface CacheQuery {
  readonly target: string;
  /** Decodes the response body; empty if it is invalid. */
  read(body: string): CachedParts;
}

export interface CachedPromptsContext {
  readonly scheduler: SchedulerLike;
  readonly connections: Connections;
  readonly log: Log;
  readonly cacheQuery: CacheQuery;
}

/** Tokens that need no prefill: those of the parts up to the first not cached completely. */
export function cachedTokens(parts: readonly PromptPart[], cachedParts: CachedParts): number {
  let tokens = 0;
  parts.every((part) => {
    const cached = Math.min(part.tokens, cachedParts.get(part.id) ?? 0);
    tokens += cached;
    return cached === part.tokens;
  });
  return tokens;
}

interface Lookup {
  readonly startedAt: number;
  readonly partsByEngine: Promise<ReadonlyMap<string, CachedParts>>;
}

export class CachedPrompts {
  readonly #context: CachedPromptsContext;

  readonly #lookups = new Map<string, Lookup>();

  private constructor(context: CachedPromptsContext) {
    this.#context = context;
  }

  static of(context: CachedPromptsContext): CachedPrompts {
    return new CachedPrompts(context);
  }

  /** The cached parts of each engine of a service; empty for one that fails to answer in time. */
  lookUp(
    service: string,
    engines: readonly ServerEntry[],
  ): Promise<ReadonlyMap<string, CachedParts>> {
    const now = this.#context.scheduler.now();
    const lookup = this.#lookups.get(service);
    if (lookup && now - lookup.startedAt < LOOKUP_TTL_MS) return lookup.partsByEngine;
    const maxBytes = Math.min(MAX_LIST_BYTES, MAX_LOOKUP_BYTES / engines.length);
    const partsByEngine = Promise.all(engines.map(async (engine) => (
      [engine.id, await this.#query(engine, maxBytes)] as const)))
      .then((pairs) => new Map(pairs));
    this.#lookups.set(service, { startedAt: now, partsByEngine });
    return partsByEngine;
  }

  #query(engine: ServerEntry, maxBodyBytes: number): Promise<CachedParts> {
    const {
      scheduler, connections, cacheQuery, log,
    } = this.#context;
    return fetchBody({
      agent: connections.agent(engine.id),
      address: engine.address,
      target: cacheQuery.target,
      reuse: true,
      maxBodyBytes,
      timeoutMs: QUERY_TIMEOUT_MS,
    }, scheduler).catch((error: unknown) => {
      // An engine that fails to answer counts as having nothing cached: another prefill.
      log.event('info', 'held_prompts_unread', { server: engine.id, reason: String(error) });
      return '';
    }).then((body) => cacheQuery.read(body));
  }
}
