/** What the relay needs of the platform that it runs on; the platform's adapter implements it. */
import type { Result } from 'neverthrow';
import type { ObjectReader } from '../store/objects.js';
import type { Dialect } from './dialect.js';
import type { CacheQuery } from './cachedprompts.js';
import type { RelayConfiguration } from './routes.js';
import type { ServerEntry } from './serverentry.js';

export interface Platform {
  readonly objects: ObjectReader;
  readonly dialect: Dialect;
  readonly cacheQuery: CacheQuery;
  /** Names of kinds in the store, and of the object that holds the configuration. */
  readonly configurationKind: string;
  readonly configurationName: string;
  readonly serverKind: string;
  /** Why the configuration can't be read, where it can't. */
  readConfiguration(value: unknown): Result<RelayConfiguration, string>;
  /** Undefined for an entry that names no server to use. */
  readServer(name: string, value: unknown): ServerEntry | undefined;
}
