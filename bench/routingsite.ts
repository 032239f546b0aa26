/** The deployment that the routing benches run: its size, and the configuration made from it. */
import type {
  BackendServer, Configuration, Favour, Model, Pool, Workspace,
} from '../src/configuration/configuration.js';
import { EMPTY_CONFIGURATION } from '../src/configuration/defaults.js';

export interface Setting {
  readonly name: string;
  readonly zones: readonly string[];
  readonly longEngines: number;
  readonly shortEngines: number;
  readonly stepMs: number;
  readonly favour: Favour;
  readonly daemons: number;
}

/** Streams that one engine runs at once. */
export const SLOTS = 16;
export const WORKSPACES = 10;

function model(name: string): Model {
  return {
    name,
    version: '1',
    adapters: [],
    replicas: 1,
    memory: 1,
    maxTokens: 4_096,
    priority: 'standard',
    repeat: 'safe',
  };
}

function pool(name: string): Pool {
  return {
    name, kind: 'engine', models: [], retryRatio: 0.1, concurrencyPerServer: SLOTS,
  };
}

function workspace(name: string): Workspace {
  return {
    name,
    keyHashes: [],
    weight: 1,
    requestsPerSecond: 1_000_000,
    burst: 1_000_000,
    concurrency: 1_000_000,
    priority: 'standard',
    models: [],
  };
}

function keyed<Item extends { readonly name: string }>(items: readonly Item[]) {
  return Object.fromEntries(items.map((item) => [item.name, item]));
}

export function configurationOf(setting: Setting): Configuration {
  const servers = ['long', 'short'].flatMap((kind) => {
    const count = kind === 'long' ? setting.longEngines : setting.shortEngines;
    return Array.from({ length: count }, (_, index): BackendServer => ({
      name: `${kind}-${index}`,
      kind: 'engine',
      address: `${kind}-${index}`,
      zone: setting.zones[index % setting.zones.length]!,
      pool: kind,
      checksFence: true,
      memory: 1,
      drained: false,
    }));
  });
  const names = Array.from({ length: WORKSPACES }, (_, index) => `w${index}`);
  return {
    ...EMPTY_CONFIGURATION,
    revision: 1,
    deployment: { name: setting.name, favour: setting.favour, zones: setting.zones },
    models: keyed([model('long'), model('short')]),
    pools: keyed([pool('long'), pool('short')]),
    servers: keyed(servers),
    workspaces: keyed(names.map(workspace)),
  };
}
