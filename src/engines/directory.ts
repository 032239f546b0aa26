/**
 * The engines that the configuration names, each with its client and what it last reported. Routing
 * reads it, and adds its own counts of what is in flight.
 */
import type { EngineClient, LoadReport } from './engine.js';
import type { BackendServer } from '../configuration/configuration.js';

export type Health = 'up' | 'suspect' | 'down';

export interface EngineView {
  readonly server: BackendServer;
  readonly client: EngineClient;
  readonly health: Health;
  readonly report: LoadReport | undefined;
  /** Scheduler time at which the report came. */
  readonly reportedAt: number;
}

export interface Directory {
  engines(): readonly EngineView[];

  engine(name: string): EngineView | undefined;
}
