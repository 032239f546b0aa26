/** Subscribes to the cache events of all engines in the directory and updates the prefix index. */
import {
  defer, retry, Subscription, timer,
} from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { Random } from '../common/random.js';
import type { Directory } from '../engines/directory.js';
import type { EngineClient } from '../engines/engine.js';
import type { PrefixIndex } from './prefixindex.js';

const SYNC_PERIOD_MS = 1_000;
const RECONNECT_MS = 1_000;
const RECONNECT_JITTER = 0.5;

export interface CacheFollowerContext {
  readonly directory: Directory;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
}

interface Followed { readonly client: EngineClient; readonly stream: Subscription }

export class CacheFollower {
  readonly #context: CacheFollowerContext;

  readonly #prefixes: PrefixIndex;

  readonly #followed = new Map<string, Followed>();

  private constructor(context: CacheFollowerContext, prefixes: PrefixIndex) {
    this.#context = context;
    this.#prefixes = prefixes;
  }

  static of(context: CacheFollowerContext, prefixes: PrefixIndex): CacheFollower {
    return new CacheFollower(context, prefixes);
  }

  start(): Subscription {
    const { scheduler } = this.#context;
    const running = timer(0, SYNC_PERIOD_MS, scheduler).subscribe(() => this.#syncEngines());
    running.add(() => this.#followed.forEach(({ stream }) => stream.unsubscribe()));
    return running;
  }

  #syncEngines(): void {
    const { directory } = this.#context;
    this.#followed.forEach(({ client, stream }, name) => {
      if (directory.engine(name)?.client === client) return;
      stream.unsubscribe();
      this.#followed.delete(name);
      this.#prefixes.forget(name);
    });
    directory.engines().forEach(({ server: { name }, client }) => {
      if (!this.#followed.has(name)) {
        this.#followed.set(name, { client, stream: this.#follow(name, client) });
      }
    });
  }

  #follow(engine: string, client: EngineClient): Subscription {
    const { scheduler, random } = this.#context;
    const delay = () => timer(random.jitter(RECONNECT_MS, RECONNECT_JITTER), scheduler);
    return defer(() => client.cacheEvents()).pipe(retry({ delay })).subscribe((event) => {
      this.#prefixes.observe(engine, event, scheduler.now());
    });
  }
}
