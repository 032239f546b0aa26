/**
 * The configured engines, each with its client and its last report. Routing reads the directory and
 * adds its own counts of requests in flight.
 */
import type { EngineClient, LoadReport } from './engine.js';
import type { BackendServer } from '../configuration/configuration.js';

export type Health = 'up' | 'suspect' | 'down';

export interface EngineView {
  readonly server: BackendServer;
  readonly client: EngineClient;
  readonly health: Health;
  readonly report: LoadReport | undefined;
  /** Scheduler time at which the report arrived. */
  readonly reportedAt: number;
}

export interface Directory {
  engines(): readonly EngineView[];

  engine(name: string): EngineView | undefined;
}
