/**
 * Keeps in the store at which software version streams began, for callers that return after all
 * instances were lost. Nothing is written while every service runs one version. Each instance
 * writes an object with all that it has heard of, so that one that is lost takes little with it.
 */
import { interval } from 'rxjs';
import type { SchedulerLike, Subscription } from 'rxjs';
import { z } from 'zod';
import type { Log } from '../common/log.js';
import { parseJson } from '../store/calls.js';
import type { ObjectReader, ObjectWriter, StoredObject } from '../store/objects.js';
import { ORIGIN } from './messageschema.js';
import { decodeOrigin, encodeOrigin } from './peermessage.js';
import type { StreamOrigins } from './streamorigins.js';
import { VERSION_MEMORY_MS } from './versionhistory.js';

/** Time between two writes of all instances together. */
const SAVE_INTERVAL_MS = 250;
/** How long callers that return share one reading. */
const READ_TTL_MS = 1_000;
/** An instance that runs several versions has new streams to save; clocks may differ by seconds. */
const VERSIONS_TTL_MS = 2 * VERSION_MEMORY_MS;
/** Older objects are of instances that are gone. */
const STALE_MS = 10 * VERSION_MEMORY_MS;

/** What an instance knows, at a Unix time in milliseconds. */
const SAVED = z.object({
  at: z.number(),
  /** Of the services that run several. */
  versions: z.record(z.string(), z.array(z.string())),
  origins: z.array(ORIGIN),
});

type Saved = z.infer<typeof SAVED>;

export interface SavedOriginsContext {
  readonly scheduler: SchedulerLike;
  readonly log: Log;
  readonly reader: Pick<ObjectReader, 'list'>;
  readonly writer: ObjectWriter;
  readonly kind: string;
  /** The name of this instance's object. */
  readonly name: string;
  readonly origins: StreamOrigins;
  /** The number of live instances, this one included. */
  readonly instances: () => number;
  /** Unix time in milliseconds. */
  readonly wallClock: () => number;
}

export class SavedOrigins {
  readonly #context: SavedOriginsContext;

  /** Versions that other instances had seen, by service; undefined until they have been read. */
  #versions: ReadonlyMap<string, ReadonlySet<string>> | undefined;

  #reading: { readonly startedAt: number; readonly isRead: Promise<boolean> } | undefined;

  /** What was written last, without its time; undefined if nothing is in the store. */
  #written: string | undefined;

  #writtenAt = 0;

  #isWriting = false;

  private constructor(context: SavedOriginsContext) {
    this.#context = context;
  }

  static of(context: SavedOriginsContext): SavedOrigins {
    return new SavedOrigins(context);
  }

  /** Writes what is new until the subscription ends. */
  start(): Subscription {
    return interval(SAVE_INTERVAL_MS, this.#context.scheduler).subscribe(() => {
      this.#save().catch((error: unknown) => this.#logFailure('save', String(error)));
    });
  }

  /** The only version that a service's engines have run, also before this instance started. */
  soleVersion(service: string): string | undefined {
    const seen = this.#context.origins.seenVersions(service);
    const saved = this.#versions?.get(service);
    const all = new Set([...seen, ...saved ?? []]);
    return this.#versions && all.size === 1 ? [...all][0] : undefined;
  }

  /** Reads what the instances have saved; resolves to false if the store doesn't answer. */
  read(): Promise<boolean> {
    const now = this.#context.scheduler.now();
    if (this.#reading && now - this.#reading.startedAt < READ_TTL_MS) return this.#reading.isRead;
    const isRead = this.#read();
    this.#reading = { startedAt: now, isRead };
    return isRead;
  }

  async #read(): Promise<boolean> {
    const {
      reader, kind, origins, wallClock,
    } = this.#context;
    const listing = await reader.list(kind, 'status');
    if (listing.isErr()) {
      this.#versions = undefined;
      this.#logFailure('read', listing.error.message);
      return false;
    }
    const versions = new Map<string, Set<string>>();
    listing.value.objects.forEach((object) => {
      const saved = this.#decode(object);
      if (!saved) return;
      origins.adopt(saved.origins.map(decodeOrigin));
      if (Math.abs(wallClock() - saved.at) > VERSIONS_TTL_MS) return;
      Object.entries(saved.versions).forEach(([service, names]) => {
        versions.set(service, new Set([...versions.get(service) ?? [], ...names]));
      });
    });
    this.#versions = versions;
    return true;
  }

  /** Undefined for an object that is too old, which is removed, or can't be read. */
  #decode({ name, value }: StoredObject): Saved | undefined {
    const saved = SAVED.safeParse(parseJson(value));
    if (!saved.success) {
      this.#logFailure('read', `${name}: ${z.prettifyError(saved.error)}`);
      return undefined;
    }
    const { writer, kind, wallClock } = this.#context;
    if (Math.abs(wallClock() - saved.data.at) < STALE_MS) return saved.data;
    writer.remove(kind, name).then((removed) => removed.mapErr(({ message }) => (
      this.#logFailure('remove', message))), (error: unknown) => (
      this.#logFailure('remove', String(error))));
    return undefined;
  }

  async #save(): Promise<void> {
    const { scheduler, instances, origins } = this.#context;
    const versions = origins.severalVersions;
    const isNeeded = Object.keys(versions).length > 0;
    const isDue = scheduler.now() - this.#writtenAt >= SAVE_INTERVAL_MS * instances();
    if (this.#isWriting || !isDue || (!isNeeded && this.#written === undefined)) return;
    this.#isWriting = true;
    try {
      if (this.#written === undefined) {
        // What this instance wrote before it was restarted would be lost.
        this.#writtenAt = scheduler.now();
        if (!await this.read()) return;
      }
      await (isNeeded ? this.#write(versions) : this.#remove());
    } finally {
      this.#isWriting = false;
    }
  }

  async #write(versions: Saved['versions']): Promise<void> {
    const {
      writer, kind, name, origins, wallClock, scheduler, log,
    } = this.#context;
    const recent = origins.recent(VERSION_MEMORY_MS);
    const content = { versions, origins: recent.map(encodeOrigin) };
    const text = JSON.stringify(content);
    if (text === this.#written) return;
    this.#writtenAt = scheduler.now();
    const result = await writer.write(kind, name, JSON.stringify({ at: wallClock(), ...content }));
    if (result.isErr()) {
      this.#logFailure('save', result.error.message);
      return;
    }
    if (this.#written === undefined) {
      log.event('info', 'origins_saved', {
        streams: recent.length, versions: JSON.stringify(versions),
      });
    }
    this.#written = text;
  }

  async #remove(): Promise<void> {
    const {
      writer, kind, name, scheduler,
    } = this.#context;
    this.#writtenAt = scheduler.now();
    const result = await writer.remove(kind, name);
    if (result.isErr() && result.error.code !== 'not_found') {
      this.#logFailure('remove', result.error.message);
    } else this.#written = undefined;
  }

  #logFailure(call: 'read' | 'save' | 'remove', reason: string): void {
    this.#context.log.event('warn', 'origins_unsaved', { call, reason });
  }
}
