/**
 * Three-way merge of folders by file: an operator's folder and the stored one, against what the
 * operator had started from.
 */
import type { Folder } from './check.js';
import { digestsOf } from './stored.js';
import type { Digests, HistoryEntry, StoredFolder } from './stored.js';

/** A file that the operator and someone else changed in different ways. */
export interface Conflict {
  readonly file: string;
  readonly mine: 'changed' | 'removed';
  /** The other's latest change of the file. */
  readonly theirs: {
    readonly change: 'changed' | 'removed';
    readonly revision: number;
    readonly who: string;
    readonly at: string;
  };
}

export interface FolderMerge {
  readonly files: Folder;
  /** Files that are as someone else made them since the base. */
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

/** @param base digests of the files that the operator's folder was made from */
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
