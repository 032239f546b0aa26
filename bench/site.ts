/** The two deployments at their sizes of today, and how a measurement scales them. */
import { sha256 } from '../src/common/hash.js';
import type { Configuration, Favour, Model } from '../src/configuration/configuration.js';
import { EMPTY_CONFIGURATION } from '../src/configuration/defaults.js';
import type { Priority } from '../src/common/priority.js';

export const KEY = 'bench-key';
export const WORKSPACES = 10;

/** A pool of like engines, and what its requests are like. */
export interface Group {
  readonly model: string;
  readonly engines: number;
  readonly priority: Priority;
  readonly maxTokens: number;
  /** Characters of the prompt. */
  readonly promptLength: number;
  /** Share of all requests. */
  readonly share: number;
  /** Streams that each engine decodes at once, where not the stand-in's default. */
  readonly slots?: number;
}

export interface Site {
  readonly name: string;
  readonly favour: Favour;
  readonly zones: readonly string[];
  readonly stepMs: number;
  readonly daemons: number;
  readonly groups: readonly Group[];
}

export const LISBON: Site = {
  name: 'lisbon',
  favour: 'latency',
  zones: ['lis-a', 'lis-b', 'lis-c'],
  stepMs: 2,
  daemons: 6,
  groups: [
    {
      model: 'listing',
      engines: 13,
      priority: 'batch',
      maxTokens: 2_000,
      promptLength: 4_000,
      share: 0.4,
    },
    {
      model: 'counter',
      engines: 3,
      priority: 'interactive',
      maxTokens: 40,
      promptLength: 400,
      share: 0.6,
    },
  ],
};

export const MORAVIA: Site = {
  name: 'moravia',
  favour: 'resources',
  zones: ['brno-sal-a', 'brno-sal-b', 'zlin-sal'],
  stepMs: 3,
  daemons: 9,
  groups: [
    {
      model: 'drawing',
      engines: 25,
      priority: 'standard',
      maxTokens: 1_500,
      promptLength: 8_000,
      share: 0.6,
    },
    {
      model: 'portal',
      engines: 3,
      priority: 'interactive',
      maxTokens: 60,
      promptLength: 600,
      share: 0.4,
    },
  ],
};

/** Few slots, so that a load that one machine can offer fills them. */
export const SMALL: Site = {
  ...LISBON,
  name: 'small',
  daemons: 3,
  groups: LISBON.groups.map((group) => ({
    ...group,
    engines: group.model === 'listing' ? 3 : 1,
    slots: 2,
    maxTokens: Math.min(500, group.maxTokens),
  })),
};

export interface EngineAddress {
  readonly name: string;
  readonly group: Group;
  readonly address: string;
}

function model({ model: name, engines, priority }: Group): Model {
  return {
    name,
    version: '1',
    adapters: [],
    replicas: engines,
    memory: 1,
    maxTokens: 4_096,
    priority,
    repeat: 'safe',
  };
}

/** The configuration of a site whose engines listen at these addresses. */
export function configurationOf(site: Site, engines: readonly EngineAddress[]): Configuration {
  const entries = <Value extends { readonly name: string }>(values: readonly Value[]) => (
    Object.fromEntries(values.map((value) => [value.name, value])));
  return {
    ...EMPTY_CONFIGURATION,
    revision: 1,
    deployment: { name: site.name, favour: site.favour, zones: site.zones },
    models: entries(site.groups.map(model)),
    servers: entries(engines.map(({ name, group, address }, index) => ({
      name,
      kind: 'engine' as const,
      address,
      zone: site.zones[index % site.zones.length]!,
      pool: group.model,
      checksFence: true,
      memory: 1,
      drained: false,
    }))),
    pools: entries(site.groups.map((group) => ({
      name: group.model,
      kind: 'engine' as const,
      models: [group.model],
      retryRatio: 0.2,
      concurrencyPerServer: 64,
    }))),
    workspaces: entries(Array.from({ length: WORKSPACES }, (_, index) => ({
      name: `workspace-${index}`,
      keyHashes: [sha256(`${KEY}-${index}`)],
      weight: 1,
      requestsPerSecond: 10_000,
      burst: 10_000,
      concurrency: 10_000,
      priority: 'standard' as const,
      models: [],
    }))),
  };
}
