/** The initial configuration of simulated fleets, and the edits that operators make to it. */
import { sha256 } from '../../src/common/hash.js';
import type {
  BackendServer, Configuration, Favour, Model, Repeat,
} from '../../src/configuration/configuration.js';
import { EMPTY_CONFIGURATION } from '../../src/configuration/defaults.js';

/** Engines have both versions loaded; the configuration selects the one for new generations. */
export const VERSIONS = ['1', '2'] as const;
export const MODELS = ['listing', 'billing'] as const;
export const WORKSPACE = 'hotel';
export const WORKSPACE_KEY = 'hotel-key';

export const MAX_TOKENS = 100;

function model(name: string, repeat: Repeat): Model {
  return {
    name,
    version: VERSIONS[0],
    adapters: [],
    replicas: 2,
    memory: 1,
    maxTokens: MAX_TOKENS,
    priority: 'standard',
    repeat,
  };
}

export function engineEntry(name: string, checksFence: boolean): BackendServer {
  return {
    name,
    kind: 'engine',
    address: name,
    zone: 'lis-a',
    pool: 'engines',
    checksFence,
    memory: 4,
    drained: false,
  };
}

export function initialConfiguration(
  servers: readonly BackendServer[],
  favour: Favour,
): Configuration {
  return {
    ...EMPTY_CONFIGURATION,
    revision: 1,
    deployment: { name: 'lisbon', favour, zones: ['lis-a'] },
    models: { listing: model('listing', 'safe'), billing: model('billing', 'never') },
    servers: Object.fromEntries(servers.map((server) => [server.name, server])),
    pools: {
      engines: {
        name: 'engines', kind: 'engine', models: [], retryRatio: 1, concurrencyPerServer: 64,
      },
    },
    workspaces: {
      [WORKSPACE]: {
        name: WORKSPACE,
        keyHashes: [sha256(WORKSPACE_KEY)],
        weight: 1,
        requestsPerSecond: 1_000,
        burst: 1_000,
        concurrency: 1_000,
        priority: 'standard',
        models: [],
      },
    },
  };
}

/** A change by an operator; each kind writes its own file in the folder. */
export type Edit =
  | { readonly kind: 'drain'; readonly engine: string; readonly drained: boolean }
  | { readonly kind: 'version'; readonly model: string; readonly version: string };

const FIRST_PORT = 9_000;

function serverText({
  name, zone, pool, checksFence, drained,
}: BackendServer, index: number) {
  return `[servers.${name}]
address = "127.0.0.1:${FIRST_PORT + index}"
zone = "${zone}"
pool = "${pool}"
checks_fence = ${checksFence}
memory = "4B"
drained = ${drained}`;
}

function modelText({
  name, version, replicas, maxTokens, repeat,
}: Model): string {
  return `[models.${name}]
version = "${version}"
replicas = ${replicas}
memory = "1B"
max_tokens = ${maxTokens}
repeat = "${repeat}"`;
}

/** The configuration as the text of a configuration file. */
export function fileText({ deployment: { name, favour, zones }, ...rest }: Configuration): string {
  return [
    `[deployment]\nname = "${name}"\nfavour = "${favour}"\nzones = ["${zones.join('", "')}"]`,
    '[pools.engines]\nretry_ratio = 1\nconcurrency_per_server = 64',
    ...Object.values(rest.models).map(modelText),
    ...Object.values(rest.servers).map(serverText),
    ...Object.values(rest.workspaces).map((workspace) => `[workspaces.${workspace.name}]
key_hashes = ["${workspace.keyHashes.join('", "')}"]
requests_per_second = ${workspace.requestsPerSecond}
burst = ${workspace.burst}
concurrency = ${workspace.concurrency}`),
    '',
  ].join('\n\n');
}

/** The name of the file that the edit writes or removes. */
export function fileOf(edit: Edit): string {
  return edit.kind === 'drain' ? `drain-${edit.engine}.toml` : `version-${edit.model}.toml`;
}

/** The file's new text; undefined if the edit removes it. */
export function textOf(edit: Edit): string | undefined {
  switch (edit.kind) {
    case 'drain':
      return edit.drained ? `[servers.${edit.engine}]\ndrained = true\n` : undefined;
    case 'version': return `[models.${edit.model}]\nversion = "${edit.version}"\n`;
  }
}

/** Whether the configuration contains the result of the edit. */
export function containsEdit(edit: Edit, { models, servers }: Configuration): boolean {
  switch (edit.kind) {
    case 'drain': return servers[edit.engine]?.drained === edit.drained;
    case 'version': return models[edit.model]?.version === edit.version;
  }
}
