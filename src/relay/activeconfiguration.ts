/**
 * The configuration in force. Within a process its version only increases, whichever source a
 * version comes from: the store's watch, a periodic read, or another daemon.
 */
import type { Log } from '../common/log.js';
import { RouteTable } from './routes.js';
import type { RelayConfiguration } from './routes.js';

export class ActiveConfiguration {
  readonly #log: Log;

  #table: RouteTable | undefined;

  private constructor(log: Log) {
    this.#log = log;
  }

  static of(log: Log): ActiveConfiguration {
    return new ActiveConfiguration(log);
  }

  /** Undefined until a configuration is known. */
  get routes(): RouteTable | undefined {
    return this.#table;
  }

  /** 0 until a configuration is known. */
  get version(): number {
    return this.#table?.configuration.version ?? 0;
  }

  /** Puts a configuration in force if it is newer than the current one. */
  adopt(configuration: RelayConfiguration, from: string): void {
    if (configuration.version <= this.version) return;
    this.#log.event('info', 'configuration_in_force', {
      version: configuration.version,
      before: this.version,
      from,
      routes: configuration.routes.length,
      workspaces: configuration.workspaces?.length,
    });
    this.#table = RouteTable.of(configuration);
  }
}
