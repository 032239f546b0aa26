/** The relay's interface to the platform it runs on, implemented by the platform's adapter. */
import type { Result } from 'neverthrow';
import type { Order, OrderState } from '../rollout/order.js';
import type { StatusWrite } from '../rollout/rollouts.js';
import type {
  ObjectReader, ObjectWriter, StatusError, StoredObject,
} from '../store/objects.js';
import type { CacheQuery } from './cachedprompts.js';
import type { Dialect } from './dialect.js';
import type { StartQuery } from './identity.js';
import type { RelayConfiguration } from './routes.js';
import type { ServerEntry } from './serverentry.js';

/** An order as the store holds it. */
export interface StoredOrder { readonly order: Order; readonly state: OrderState }

/** Orders of rollouts in the platform's store. */
export interface OrderPlatform {
  readonly kind: string;
  /** Decodes an order; the error says why it is invalid. */
  readOrder(object: StoredObject): Result<StoredOrder, string>;
  /** Writes an order's status, on condition of its version. */
  writeStatus(write: StatusWrite): Promise<Result<StoredObject | undefined, StatusError>>;
}

export interface Platform {
  readonly objects: ObjectReader;
  readonly records: ObjectWriter;
  readonly dialect: Dialect;
  readonly cacheQuery: CacheQuery;
  /** Undefined on platforms whose servers don't tell when they started. */
  readonly startQuery?: StartQuery | undefined;
  /** Names of the kinds in the store, and of the object that holds the configuration. */
  readonly configurationKind: string;
  readonly configurationName: string;
  readonly serverKind: string;
  /** The kind of the objects in which instances save where streams began. */
  readonly originKind: string;
  /** Undefined on platforms without rollouts. */
  readonly orders?: OrderPlatform | undefined;
  /** Decodes the configuration; the error says why it is invalid. */
  readConfiguration(value: unknown): Result<RelayConfiguration, string>;
  /** Decodes a server's entry; undefined if it is invalid. */
  readServer(name: string, value: unknown): ServerEntry | undefined;
}
