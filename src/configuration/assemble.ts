/** Builds the effective configuration from the validated settings of a folder. */
import type {
  BackendServer, Configuration, Limits, Model, Placement, Pool, Route, Service, Workspace,
} from './configuration.js';
import type {
  FolderSettings, ModelSettings, PoolSettings, RouteSettings, ServerSettings, ServiceSettings,
  WorkspaceSettings,
} from './schema.js';

const SAFE_METHODS = ['GET', 'HEAD'];

/** The result has no prototype: callers choose names that are looked up, such as `constructor`. */
function mapRecord<From, To>(
  records: Readonly<Record<string, From>>,
  convert: (name: string, settings: From) => To,
): Readonly<Record<string, To>> {
  const result = Object.create(null) as Record<string, To>;
  Object.entries(records).forEach(([name, settings]) => {
    result[name] = convert(name, settings);
  });
  return result;
}

function modelOf(name: string, settings: ModelSettings): Model {
  const { max_tokens: maxTokens, ...rest } = settings;
  return { ...rest, name, maxTokens };
}

function poolOf(name: string, settings: PoolSettings): Pool {
  return {
    name,
    kind: settings.kind,
    models: settings.models,
    retryRatio: settings.retry_ratio,
    concurrencyPerServer: settings.concurrency_per_server,
  };
}

function serverOf(name: string, settings: ServerSettings, folder: FolderSettings): BackendServer {
  const { checks_fence: checksFence, ...rest } = settings;
  return {
    ...rest, name, checksFence, kind: folder.pools[settings.pool]!.kind,
  };
}

/**
 * A route without `repeat` becomes up to two routes: one for GET and HEAD, whose requests may be
 * repeated, and one for the other methods, whose requests may not.
 */
function expandRoute({ timeout, repeat, ...rest }: RouteSettings): readonly Route[] {
  const route = { ...rest, timeoutMs: timeout };
  if (repeat !== undefined) return [{ ...route, repeat }];
  const listed = route.methods.length > 0;
  const safeMethods = SAFE_METHODS.filter((method) => !listed || route.methods.includes(method));
  const otherMethods = route.methods.filter((method) => !SAFE_METHODS.includes(method));
  return [
    ...(safeMethods.length > 0
      ? [{ ...route, methods: safeMethods, repeat: 'safe' } as const]
      : []),
    ...(!listed || otherMethods.length > 0
      ? [{ ...route, methods: otherMethods, repeat: 'never' } as const]
      : []),
  ];
}

const DEFAULT_ROUTE: RouteSettings = {
  path: '/', methods: [], repeat: undefined, priority: 'standard', timeout: 30_000,
};

function serviceOf(name: string, { pool, routes }: ServiceSettings): Service {
  const effective = routes.length > 0 ? routes : [DEFAULT_ROUTE];
  return { name, pool, routes: effective.flatMap(expandRoute) };
}

function workspaceOf(name: string, settings: WorkspaceSettings): Workspace {
  const { key_hashes: keyHashes, requests_per_second: requestsPerSecond, ...rest } = settings;
  return {
    ...rest, name, keyHashes, requestsPerSecond,
  };
}

function limitsOf(settings: FolderSettings['limits']): Limits {
  return {
    queueWaitMs: settings.queue_wait,
    queueLength: settings.queue_length,
    callerBufferBytes: settings.caller_buffer,
    callerStallMs: settings.caller_stall,
  };
}

function placementOf(settings: FolderSettings['placement']): Placement {
  return {
    enabled: settings.enabled,
    concurrentLoads: settings.concurrent_loads,
    loadsPerMinute: settings.loads_per_minute,
    leaseMs: settings.lease,
    orderTimeoutMs: settings.order_timeout,
  };
}

/** @param folder settings that passed all checks without errors */
export function assemble(folder: FolderSettings, revision: number): Configuration {
  return {
    revision,
    deployment: folder.deployment,
    models: mapRecord(folder.models, modelOf),
    servers: mapRecord(folder.servers, (name, server) => serverOf(name, server, folder)),
    pools: mapRecord(folder.pools, poolOf),
    services: mapRecord(folder.services, serviceOf),
    workspaces: mapRecord(folder.workspaces, workspaceOf),
    limits: limitsOf(folder.limits),
    placement: placementOf(folder.placement),
  };
}
