/**
 * The operators' folder as one object in the store: its files, its revision and the history of its
 * changes. The history keeps the digest of each file before and after a change, so that a folder
 * can be compared with what any kept revision held.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { sha256 } from '../common/hash.js';
import type { Folder } from './check.js';

export const OBJECT_NAME = 'configuration';

const FORMAT = 1;
const MAX_HISTORY = 100;
/** The store's largest value, less some room for another encoding of it. */
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
  /** Who made the change, as the operator's tool names them. */
  who: z.string(),
  /** When, as an ISO 8601 time of the operator's clock. */
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

/** What is stored before the first change. */
export const EMPTY_FOLDER: StoredFolder = { revision: 0, files: {}, history: [] };

/** The stored folder, or why `text` is not one. */
export function parseStored(text: string): Result<StoredFolder, string> {
  try {
    const parsed = STORED.safeParse(JSON.parse(text));
    return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
  } catch (error) {
    return err(String(error));
  }
}

/** The object's value, its oldest history left out as far as the size asks; else its size. */
export function encodeStored(folder: StoredFolder): Result<string, number> {
  const history = folder.history.slice(0, MAX_HISTORY);
  const text = JSON.stringify({ format: FORMAT, ...folder, history });
  const bytes = Buffer.byteLength(text);
  if (bytes <= MAX_BYTES) return ok(text);
  if (history.length <= 1) return err(bytes);
  return encodeStored({ ...folder, history: history.slice(0, Math.floor(history.length / 2)) });
}

/** Whether the stored text holds the change with this write id. */
export function containsWrite(text: string, writeId: string): boolean {
  return parseStored(text)
    .map((stored) => stored.history.some((entry) => entry.writeId === writeId))
    .unwrapOr(false);
}

export function digestsOf(files: Folder): Digests {
  return new Map(Object.entries(files)
    .map(([name, text]) => [name, sha256(text).slice(0, DIGEST_CHARS)]));
}

/** The changes that lead from one set of files to another, ordered by name. */
export function changesBetween(from: Digests, to: Digests): readonly FileChange[] {
  return [...new Set([...from.keys(), ...to.keys()])].sort()
    .map((file) => ({ file, before: from.get(file), after: to.get(file) }))
    .filter(({ before, after }) => before !== after);
}

/** The digests of the files at `revision`; undefined when the history does not go back to it. */
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
