/**
 * The format of the operators' folder as one object in the store: its files, its revision and the
 * history of its changes. The history has the digests of each changed file before and after the
 * change, from which the digests of all files at any revision in it can be derived.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { sha256 } from '../common/hash.js';
import type { Folder } from './check.js';

export const OBJECT_NAME = 'configuration';

const FORMAT = 1;
const MAX_HISTORY = 100;
/** The store's maximum value size, less a margin for another encoding of it. */
const MAX_BYTES = 1_000_000;
const DIGEST_CHARS = 16;

const FILE_CHANGE = z.object({
  file: z.string(),
  /** Digest before the change; undefined for a file that was added. */
  before: z.string().optional(),
  /** Digest after the change; undefined for a file that was removed. */
  after: z.string().optional(),
});

const HISTORY_ENTRY = z.object({
  revision: z.number().int().positive(),
  writeId: z.string(),
  /** The author of the change, as reported by the operator's tool. */
  who: z.string(),
  /** Time of the change by the operator's clock, in ISO 8601. */
  at: z.string(),
  changes: z.array(FILE_CHANGE),
});

const STORED = z.object({
  format: z.literal(FORMAT),
  revision: z.number().int().positive(),
  files: z.record(z.string(), z.string()),
  /** The latest change first. */
  history: z.array(HISTORY_ENTRY),
});

export type FileChange = Readonly<z.output<typeof FILE_CHANGE>>;

export type HistoryEntry = Readonly<z.output<typeof HISTORY_ENTRY>>;

export interface StoredFolder {
  readonly revision: number;
  readonly files: Folder;
  /** The latest change first. */
  readonly history: readonly HistoryEntry[];
}

/** Digests by file name. */
export type Digests = ReadonlyMap<string, string>;

/** The folder before the first change. */
export const EMPTY_FOLDER: StoredFolder = { revision: 0, files: {}, history: [] };

/** The stored folder, or the reason why `text` is invalid. */
export function parseStored(text: string): Result<StoredFolder, string> {
  try {
    const parsed = STORED.safeParse(JSON.parse(text));
    return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
  } catch (error) {
    return err(String(error));
  }
}

/**
 * The object's value. The oldest history is dropped as far as the size limit requires; the error is
 * the size in bytes if that isn't enough.
 */
export function encodeStored(folder: StoredFolder): Result<string, number> {
  const history = folder.history.slice(0, MAX_HISTORY);
  const text = JSON.stringify({ format: FORMAT, ...folder, history });
  const bytes = Buffer.byteLength(text);
  if (bytes <= MAX_BYTES) return ok(text);
  if (history.length <= 1) return err(bytes);
  return encodeStored({ ...folder, history: history.slice(0, Math.floor(history.length / 2)) });
}

/** Whether the history in the stored text contains this write id. */
export function containsWrite(text: string, writeId: string): boolean {
  return parseStored(text)
    .map((stored) => stored.history.some((entry) => entry.writeId === writeId))
    .unwrapOr(false);
}

export function digestsOf(files: Folder): Digests {
  return new Map(Object.entries(files)
    .map(([name, text]) => [name, sha256(text).slice(0, DIGEST_CHARS)]));
}

/** The differences between two sets of files, sorted by name. */
export function changesBetween(from: Digests, to: Digests): readonly FileChange[] {
  return [...new Set([...from.keys(), ...to.keys()])].sort()
    .map((file) => ({ file, before: from.get(file), after: to.get(file) }))
    .filter(({ before, after }) => before !== after);
}

/** The digests of the files at `revision`; undefined if the history doesn't go back that far. */
export function digestsAt(stored: StoredFolder, revision: number): Digests | undefined {
  if (revision > stored.revision) return undefined;
  const digests = new Map(digestsOf(stored.files));
  let oldest = stored.revision;
  stored.history.filter((entry) => entry.revision > revision).forEach((entry) => {
    entry.changes.forEach(({ file, before }) => {
      if (before === undefined) digests.delete(file);
      else digests.set(file, before);
    });
    oldest = entry.revision - 1;
  });
  if (revision === 0 && digests.size === 0) return digests;
  return oldest === revision ? digests : undefined;
}
