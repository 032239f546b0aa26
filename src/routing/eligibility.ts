/**
 * Decides which backend servers are eligible for a request, and gives the reason for excluding the
 * others. Capacity is checked separately, since requests wait for a server that is only full.
 */
import type { BackendServer, Configuration, Pool } from '../configuration/configuration.js';
import type { Health } from '../engines/directory.js';
import type { LoadReport } from '../engines/engine.js';
import type { AssignmentRequest } from './dispatcher.js';

/** What a server must provide to run a request. */
export type Need =
  | {
    readonly kind: 'model';
    readonly model: string;
    /** The version required by a resume; undefined if any version may be used. */
    readonly version: string | undefined;
    /** The preferred version. */
    readonly configured: string;
    readonly adapter: string | undefined;
  }
  | { readonly kind: 'service'; readonly pool: string };

export interface ServerView {
  readonly server: BackendServer;
  readonly health: Health;
  readonly report: LoadReport | undefined;
}

export type Exclusion =
  | 'not_held' | 'pool' | 'drained' | 'leaving' | 'down' | 'not_reported' | 'tried' | 'breaker';

/** Used for servers whose pool is not in the configuration. */
export const DEFAULT_POOL: Omit<Pool, 'name' | 'kind'> = {
  models: [], retryRatio: 0.1, concurrencyPerServer: 64,
};

/** What the request needs; undefined if its model or service isn't configured. */
export function needOf(request: AssignmentRequest, configuration: Configuration): Need | undefined {
  const { target } = request;
  switch (target.kind) {
    case 'service': {
      const service = configuration.services[target.service];
      return service && { kind: 'service', pool: service.pool };
    }
    case 'model': {
      const { model, version, adapter } = target;
      const configured = version ?? configuration.models[model]?.version;
      if (configured === undefined) return undefined;
      return {
        kind: 'model', model, version, configured, adapter,
      };
    }
  }
}

/** A key that is equal for needs that the same servers satisfy. */
export function needKey(need: Need): string {
  switch (need.kind) {
    case 'model': return `${need.model}@${need.version ?? '*'}/${need.adapter ?? ''}`;
    case 'service': return `service ${need.pool}`;
  }
}

/**
 * The version that the engine would run: the configured one if it is loaded, otherwise another. A
 * new version is loaded alongside the old one, which serves requests until the new one is ready.
 */
export function heldVersion(need: Need, report: LoadReport | undefined): string | undefined {
  if (need.kind === 'service' || !report) return undefined;
  const versions = report.models.filter(({ model, version, adapters }) => (
    model === need.model && version === (need.version ?? version)
    && (need.adapter === undefined || adapters.includes(need.adapter))))
    .map(({ version }) => version);
  return versions.includes(need.configured) ? need.configured : versions.at(-1);
}

function engineExclusion(need: Need, report: LoadReport | undefined): Exclusion | undefined {
  if (!report) return 'not_reported';
  switch (report.role) {
    case 'leaving': return 'leaving';
    case 'idle': return 'not_held';
    case 'serve': return heldVersion(need, report) === undefined ? 'not_held' : undefined;
  }
}

/** Why a server is ineligible regardless of its load; undefined if it is eligible. */
export function exclusion(
  need: Need,
  { server, health, report }: ServerView,
  pool: Pool | undefined,
  leaving: ReadonlySet<string>,
): Exclusion | undefined {
  if (need.kind === 'service' && (server.kind !== 'service' || server.pool !== need.pool)) {
    return 'pool';
  }
  if (need.kind === 'model') {
    const models = pool?.models ?? [];
    if (server.kind !== 'engine' || (models.length > 0 && !models.includes(need.model))) {
      return 'pool';
    }
  }
  if (server.drained) return 'drained';
  if (leaving.has(server.name)) return 'leaving';
  if (health === 'down') return 'down';
  return need.kind === 'model' ? engineExclusion(need, report) : undefined;
}
