/**
 * The daemon's own settings: its listeners, the platform's addresses, and its keys. They are read
 * once, from one TOML file. Everything that operators can change at run time is in the
 * configuration instead.
 */
import { z } from 'zod';
import type { Finding } from '../common/finding.js';
import { sha256 } from '../common/hash.js';
import type { LogLevel } from '../common/log.js';
import {
  address, choice, duration, matching, NAME_PATTERN, text,
} from '../configuration/fields.js';
import { readDocument } from '../configuration/document.js';
import { formatPath, placeOf } from '../configuration/tree.js';
import type { Path } from '../configuration/tree.js';
import { validate } from '../configuration/validate.js';

/** Replaces a table missing from the file, so that each of its settings gets its default. */
const MISSING_TABLE = {} as never;
const NAME_FORMAT = 'a name of letters, digits, dots, hyphens and underscores';
const LEVELS: readonly LogLevel[] = ['debug', 'info', 'warn', 'error'];
const HASH_PATTERN = /^[0-9a-f]{64}$/;
const URL_PATTERN = /^http:\/\/[0-9.[\]:a-fA-F]+(?::\d+)?\/\S*$/;
const KEY_PATTERN = /^\S{16,256}$/;
const KEY_FORMAT = 'a text of 16 to 256 characters without spaces';

const LISTEN = z.strictObject({
  callers: address('Where callers, by way of the balancer, reach this instance.'),
  peers: address('Where other instances reach it.'),
  administrators: address('Where administrators reach it.'),
});

const PLATFORM = z.strictObject({
  objects: address('The object API.'),
  instances: matching('The list of instances.', 'a URL with an IP address', URL_PATTERN),
});

const ADMINISTRATOR = z.strictObject({
  name: matching(
    'Named in the history of the configuration and in logs.',
    NAME_FORMAT,
    NAME_PATTERN,
  ),
  key_hash: matching(
    'SHA-256 of the key.',
    '64 hexadecimal digits in lower case',
    HASH_PATTERN,
  ),
});

const KEYS = z.strictObject({
  peers: matching('Signs calls between instances; the same on all.', KEY_FORMAT, KEY_PATTERN),
  cursors: matching(
    'Signs the cursors that callers return with; the same on all.',
    KEY_FORMAT,
    KEY_PATTERN,
  ),
  administrators: z.array(ADMINISTRATOR).default([]),
});

const STOP = z.strictObject({
  balancer_lag: duration(
    'How long the balancer may go on sending requests after readiness is off.',
    { min: '0ms', max: '10m' },
    '5s',
  ),
  limit: duration(
    'Open answers are cut off after so long.',
    { min: '1s', max: '24h' },
    '15m',
  ),
}).prefault(MISSING_TABLE);

export const SETTINGS = z.strictObject({
  name: matching('The name of this instance.', NAME_FORMAT, NAME_PATTERN),
  zone: matching('The availability zone that it runs in.', NAME_FORMAT, NAME_PATTERN),
  advertise: text('The peers\' address as others see it; listen.peers if left out.', '-'),
  log_level: choice('Events below this level are not logged.', LEVELS, 'info'),
  listen: LISTEN,
  platform: PLATFORM,
  keys: KEYS,
  stop: STOP,
});

export type Settings = z.output<typeof SETTINGS>;

export interface SettingsResult {
  /** Undefined if there are findings. */
  readonly settings: Settings | undefined;
  readonly findings: readonly Finding[];
}

/** A setting that is incompatible with another. */
interface Conflict { readonly path: Path; readonly message: string }

function repeatedAddresses({ listen }: Settings): readonly Conflict[] {
  const entries = Object.entries(listen);
  return entries.flatMap(([key, value], index) => {
    const [earlier] = entries.slice(0, index).find(([, other]) => other === value) ?? [];
    return earlier === undefined
      ? []
      : [{ path: ['listen', key], message: `must differ from listen.${earlier}` }];
  });
}

/** One key must not serve two purposes: its holder could act in the other role. */
function reusedKeys({ keys }: Settings): readonly Conflict[] {
  const message = 'must differ from keys.peers';
  const reusedCursorKey = keys.cursors === keys.peers
    ? [{ path: ['keys', 'cursors'], message }]
    : [];
  const forbiddenHashes = [sha256(keys.peers), sha256(keys.cursors)];
  return [...reusedCursorKey, ...keys.administrators.flatMap((administrator, index) => (
    forbiddenHashes.includes(administrator.key_hash)
      ? [{
        path: ['keys', 'administrators', index, 'key_hash'],
        message: 'must not be the hash of keys.peers or keys.cursors',
      }]
      : []))];
}

function conflictsIn(settings: Settings): readonly Conflict[] {
  const { stop } = settings;
  return [
    ...repeatedAddresses(settings),
    ...reusedKeys(settings),
    ...(stop.limit < stop.balancer_lag
      ? [{ path: ['stop', 'limit'], message: 'must not be shorter than stop.balancer_lag' }]
      : []),
  ];
}

/** @param file name of the file, used in the findings */
export function readSettings(file: string, contents: string): SettingsResult {
  const { table, findings } = readDocument(file, contents);
  const checked = validate(SETTINGS, table);
  const conflicts = (checked.data ? conflictsIn(checked.data) : [])
    .map(({ path, message }): Finding => ({
      severity: 'error', place: placeOf(table, path), path: formatPath(path), message,
    }));
  const all = [...findings, ...checked.findings, ...conflicts];
  return { settings: all.length === 0 ? checked.data : undefined, findings: all };
}
