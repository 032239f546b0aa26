/** The schema of all settings in a folder of configuration files, with units and bounds. */
import { z } from 'zod';
import type { Priority } from '../common/priority.js';
import {
  address, choice, decimal, descriptions, duration, flag, integer, matching, NAME_PATTERN,
  optionalChoice, size, text, textList,
} from './fields.js';

const PRIORITIES: readonly Priority[] = ['interactive', 'standard', 'batch'];
const REPEATS = ['safe', 'never'] as const;
const HASH_PATTERN = /^[0-9a-f]{64}$/;
const METHOD_PATTERN = /^[A-Z]{1,16}$/;
const PATH_PATTERN = /^\/[^\s?#]*$/;
const NAME = 'a name of letters, digits, dots, hyphens and underscores';

/** Input for a table that no file has: each of its settings takes its default. */
const EMPTY_TABLE = {} as never;

function tableError(issue: { readonly code: string; readonly input: unknown }): string | undefined {
  if (issue.code !== 'invalid_type') return undefined;
  return issue.input === undefined ? 'is missing; must be a table' : 'must be a table';
}

/** A table with these settings and no others. */
function table<Shape extends z.ZodRawShape>(doc: string, shape: Shape): z.ZodObject<
  Shape,
  z.core.$strict
> {
  const schema = z.strictObject(shape, { error: tableError });
  descriptions.add(schema, { doc, allowed: 'a table', fallback: undefined });
  return schema;
}

/** A table of tables with names chosen by the operator. */
function tableMap<Entry extends z.ZodType>(schema: Entry) {
  const key = z.string().regex(NAME_PATTERN, { error: `must be ${NAME}` });
  return z.record(key, schema, { error: tableError }).prefault({});
}

const DEPLOYMENT = table('The deployment as a whole.', {
  name: matching('Its name in logs and metrics.', NAME, NAME_PATTERN),
  favour: choice(
    'What failover is tuned for: short pauses, or little engine work spent twice.',
    ['latency', 'resources'],
    'latency',
  ),
  zones: textList('The availability zones that backend servers are in.', NAME, NAME_PATTERN),
});

const MODEL = table('A model that engines hold and callers ask for by its name.', {
  version: text('The version that new generations run on.'),
  adapters: textList('Adapters that callers may ask for.', NAME, NAME_PATTERN, []),
  replicas: integer('Engines that should hold the model.', { min: 0, max: 10_000 }, 1),
  memory: size('Memory it takes on an engine.', { min: '0B', max: '1024TiB' }, '0B'),
  max_tokens: integer('Upper bound of an answer in tokens.', { min: 1, max: 10_000_000 }, 4_096),
  priority: choice('Class of requests that name none.', PRIORITIES, 'standard'),
  repeat: choice(
    'Whether a generation lost before its first token may be begun again on another engine.',
    REPEATS,
    'never',
  ),
});

const POOL = table('Backend servers that stand in for each other.', {
  kind: choice('What its backend servers are.', ['engine', 'service'], 'engine'),
  models: textList(
    'Models that its engines may hold; an empty list is all.',
    NAME,
    NAME_PATTERN,
    [],
  ),
  retry_ratio: decimal(
    'Retries allowed as a part of first attempts.',
    { min: 0, max: 1 },
    0.1,
  ),
  concurrency_per_server: integer(
    'Requests that one backend server is given at once.',
    { min: 1, max: 100_000 },
    64,
  ),
});

const SERVER = table('A backend server.', {
  address: address('Where it listens.'),
  zone: matching('Its availability zone.', NAME, NAME_PATTERN),
  pool: matching('The pool that it belongs to.', NAME, NAME_PATTERN),
  checks_fence: flag('Whether it refuses orders with an old fencing number.', false),
  memory: size('Memory for models.', { min: '0B', max: '1024TiB' }, '0B'),
  drained: flag('Takes it out of use without removing it.', false),
});

const ROUTE = table('How requests for a path of a service are treated; the first match decides.', {
  path: matching('Prefix of the request path.', 'a path that begins with /', PATH_PATTERN, '/'),
  methods: textList('Methods it is for; an empty list is all.', 'a method', METHOD_PATTERN, []),
  repeat: optionalChoice(
    'Whether a request may run more than once; without it, only GET and HEAD may.',
    REPEATS,
  ),
  priority: choice('Class of the requests.', PRIORITIES, 'standard'),
  timeout: duration('Longest time to the end of the answer.', { min: '10ms', max: '1h' }, '30s'),
});

const SERVICE = table('A plain service.', {
  pool: matching('The pool that serves it.', NAME, NAME_PATTERN),
  routes: z.array(ROUTE, { error: 'must be a list of tables' }).default(() => []),
});

const WORKSPACE = table('A customer with keys and limits.', {
  key_hashes: textList(
    'Digest of each key.',
    'an SHA-256 as 64 hexadecimal digits in lower case',
    HASH_PATTERN,
  ),
  weight: decimal('Share of a contended pool against others.', { min: 0.001, max: 1_000 }, 1),
  requests_per_second: decimal('Limit of the whole fleet.', { min: 0, max: 1_000_000 }, 100),
  burst: integer('Requests above the rate that may come at once.', { min: 1, max: 1_000_000 }, 100),
  concurrency: integer('Requests that may run at once.', { min: 1, max: 1_000_000 }, 100),
  priority: choice('Highest class of its requests.', PRIORITIES, 'standard'),
  models: textList('Models it may call; an empty list is all.', NAME, NAME_PATTERN, []),
});

const WAIT_BOUNDS = { min: '0ms', max: '10m' };

const QUEUE_WAIT = table('How long a request of each class may wait for a backend server.', {
  interactive: duration('Wait of interactive requests.', WAIT_BOUNDS, '500ms'),
  standard: duration('Wait of standard requests.', WAIT_BOUNDS, '5s'),
  batch: duration('Wait of batch requests.', WAIT_BOUNDS, '30s'),
});

const LIMITS = table('Limits on requests, for each instance.', {
  queue_wait: QUEUE_WAIT.prefault(EMPTY_TABLE),
  queue_length: integer('Requests that may wait.', { min: 0, max: 1_000_000 }, 1_000),
  caller_buffer: size(
    "Answer text held for a slow caller before the engine's stream is no longer read.",
    { min: '1KiB', max: '16MiB' },
    '64KiB',
  ),
  caller_stall: duration(
    'How long a caller may not read before its answer is ended.',
    { min: '1s', max: '1h' },
    '30s',
  ),
});

const PLACEMENT = table('Loading of models on engines.', {
  enabled: flag('Whether models are placed at all.', true),
  concurrent_loads: integer('Loads that may run at once.', { min: 1, max: 1_000 }, 2),
  loads_per_minute: decimal('Loads started in a minute.', { min: 0.1, max: 10_000 }, 12),
  lease: duration('Duration of the lease to place.', { min: '1s', max: '5m' }, '6s'),
  order_timeout: duration('Longest time of one order.', { min: '100ms', max: '1m' }, '2s'),
});

/** The merged folder; its keys are the top-level tables of the files. */
export const FOLDER = z.strictObject({
  deployment: DEPLOYMENT,
  models: tableMap(MODEL),
  pools: tableMap(POOL),
  servers: tableMap(SERVER),
  services: tableMap(SERVICE),
  workspaces: tableMap(WORKSPACE),
  limits: LIMITS.prefault(EMPTY_TABLE),
  placement: PLACEMENT.prefault(EMPTY_TABLE),
});

/** The settings of a folder, each valid on its own, with defaults filled in. */
export type FolderSettings = z.output<typeof FOLDER>;

export type ModelSettings = z.output<typeof MODEL>;

export type PoolSettings = z.output<typeof POOL>;

export type ServerSettings = z.output<typeof SERVER>;

export type ServiceSettings = z.output<typeof SERVICE>;

export type RouteSettings = z.output<typeof ROUTE>;

export type WorkspaceSettings = z.output<typeof WORKSPACE>;

/** The schema of a setting or a table. */
export type Schema = z.core.$ZodType;

/** The definition of a schema, for introspection. */
export function defOf(schema: Schema) {
  return (schema as z.core.$ZodTypes)._zod.def; // eslint-disable-line no-underscore-dangle
}

/** The schema inside wrappers that only supply a default. */
export function unwrap(schema: Schema): Schema {
  const def = defOf(schema);
  if (def.type === 'default' || def.type === 'prefault') return unwrap(def.innerType);
  return schema;
}
