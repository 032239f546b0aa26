/**
 * Three-way merge of folders, file by file: the base is the revision that the operator's edit
 * started from, and the two sides are the operator's folder and the stored one.
 */
import type { Folder } from './check.js';
import { digestsOf } from './stored.js';
import type { Digests, HistoryEntry, StoredFolder } from './stored.js';

/** A file that was changed differently on the two sides. */
export interface Conflict {
  readonly file: string;
  readonly mine: 'changed' | 'removed';
  /** The latest change to the file on the stored side. */
  readonly theirs: {
    readonly change: 'changed' | 'removed';
    readonly revision: number;
    readonly who: string;
    readonly at: string;
  };
}

export interface FolderMerge {
  readonly files: Folder;
  /** Files that were changed since the base only on the stored side; that version is kept. */
  readonly taken: readonly string[];
  readonly conflicts: readonly Conflict[];
}

function lastChange(stored: StoredFolder, file: string): HistoryEntry | undefined {
  return stored.history.find((entry) => entry.changes.some((change) => change.file === file));
}

function conflictOf(file: string, mine: string | undefined, stored: StoredFolder): Conflict {
  const entry = lastChange(stored, file);
  return {
    file,
    mine: mine === undefined ? 'removed' : 'changed',
    theirs: {
      change: Object.hasOwn(stored.files, file) ? 'changed' : 'removed',
      revision: entry?.revision ?? stored.revision,
      who: entry?.who ?? 'unknown',
      at: entry?.at ?? 'unknown',
    },
  };
}

/** @param base digests of the files at the base revision */
export function mergeFolders(base: Digests, mine: Folder, stored: StoredFolder): FolderMerge {
  const [ours, theirs] = [digestsOf(mine), digestsOf(stored.files)];
  const files: [string, string][] = [];
  const taken: string[] = [];
  const conflicts: Conflict[] = [];
  const names = [...new Set([...base.keys(), ...ours.keys(), ...theirs.keys()])].sort();
  names.forEach((file) => {
    const [baseDigest, ourDigest, theirDigest] = [base.get(file), ours.get(file), theirs.get(file)];
    const takeTheirs = ourDigest === baseDigest && theirDigest !== baseDigest;
    if (ourDigest !== baseDigest && theirDigest !== baseDigest && ourDigest !== theirDigest) {
      conflicts.push(conflictOf(file, mine[file], stored));
    }
    if (takeTheirs) taken.push(file);
    const text = takeTheirs ? stored.files[file] : mine[file];
    if (text !== undefined) files.push([file, text]);
  });
  return { files: Object.fromEntries(files), taken, conflicts };
}
