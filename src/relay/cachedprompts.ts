/**
 * Which engines still hold the prompt of a caller that returns. Engines keep what they have read
 * until other prompts take its place, so a stream whose daemon was lost can go on where it ran
 * without its prompt being read anew. Engines are asked only when a caller returns: callers come
 * back together after a loss, and one round of questions serves all that come within its lifetime.
 */
import {
  catchError, firstValueFrom, of, reduce, timeout,
} from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Connections } from './connections.js';
import type { PromptPart } from './dialect.js';
import { exchange } from './exchange.js';
import type { ServerEntry } from './serverentry.js';

/** A returning caller waits no longer for this; half of what a short prompt takes to read. */
const QUERY_TIMEOUT_MS = 150;
/** How long an answer is good for: less than a prompt takes to be read over another. */
const ANSWER_TTL_MS = 1_000;

/** Tokens held of each part of a prompt, by the part's id. */
export type CachedParts = ReadonlyMap<string, number>;

/** How an engine is asked for the parts that it holds. */
export interface CacheQuery {
  readonly target: string;
  /** Nothing for an answer that can't be read. */
  read(body: string): CachedParts;
}

export interface CachedPromptsContext {
  readonly scheduler: SchedulerLike;
  readonly connections: Connections;
  readonly log: Log;
  readonly cacheQuery: CacheQuery;
}

/** Tokens of a prompt that need not be read: its parts up to the first that is not held whole. */
export function cachedTokens(parts: readonly PromptPart[], held: CachedParts): number {
  let tokens = 0;
  parts.every((part) => {
    const kept = Math.min(part.tokens, held.get(part.id) ?? 0);
    tokens += kept;
    return kept === part.tokens;
  });
  return tokens;
}

interface Lookup {
  readonly at: number;
  readonly answers: Promise<ReadonlyMap<string, CachedParts>>;
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

  /** What each of a service's engines holds; those that don't answer in time are left out. */
  lookUp(
    service: string,
    engines: readonly ServerEntry[],
  ): Promise<ReadonlyMap<string, CachedParts>> {
    const now = this.#context.scheduler.now();
    const lookup = this.#lookups.get(service);
    if (lookup && now - lookup.at < ANSWER_TTL_MS) return lookup.answers;
    const answers = Promise.all(engines.map(async (engine) => (
      [engine.id, await this.#query(engine)] as const)))
      .then((pairs) => new Map(pairs));
    this.#lookups.set(service, { at: now, answers });
    return answers;
  }

  /** Tokens of a prompt that each engine, by its id, holds already. */
  async cachedTokensAt(
    service: string,
    engines: readonly ServerEntry[],
    parts: readonly PromptPart[],
  ): Promise<(engine: string) => number> {
    const held = await this.lookUp(service, engines);
    return (engine) => cachedTokens(parts, held.get(engine) ?? new Map());
  }

  #query(engine: ServerEntry): Promise<CachedParts> {
    const {
      scheduler, connections, cacheQuery, log,
    } = this.#context;
    return firstValueFrom(exchange({
      agent: connections.agent(engine.id),
      address: engine.address,
      method: 'GET',
      target: cacheQuery.target,
      headers: ['Host', engine.address],
      body: Buffer.alloc(0),
      reuse: true,
    }, scheduler).pipe(
      reduce((body, event) => (
        event.kind === 'piece' ? body + event.bytes.toString('utf8') : body), ''),
      timeout({ first: QUERY_TIMEOUT_MS, scheduler }),
      // An engine that doesn't tell is taken to hold nothing, which costs reading the prompt anew.
      catchError((error: unknown) => {
        log.event('info', 'held_prompts_unread', { server: engine.id, reason: String(error) });
        return of('');
      }),
    )).then((body) => cacheQuery.read(body));
  }
}
