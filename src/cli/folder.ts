/** An operator's folder of configuration files on disk, and the revision that it is based on. */
import {
  mkdir, readdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import { join } from 'node:path';
import type { Folder } from '../configuration/check.js';

/** Stores the revision that the folder was last pulled from or applied as. */
const REVISION_FILE = '.shallotshunt-revision';
const SUFFIX = '.toml';

async function fileNames(directory: string): Promise<readonly string[]> {
  return (await readdir(directory)).filter((name) => name.endsWith(SUFFIX)).sort();
}

/** Reads the folder's files; rejects if the directory or one of them can't be read. */
export async function readFolder(directory: string): Promise<Folder> {
  const names = await fileNames(directory);
  const texts = await Promise.all(names.map((name) => readFile(join(directory, name), 'utf8')));
  return Object.fromEntries(names.map((name, index) => [name, texts[index]!]));
}

/** The revision that the folder is based on; undefined if it isn't known. */
export async function readRevision(directory: string): Promise<number | undefined> {
  try {
    const revision = Number(await readFile(join(directory, REVISION_FILE), 'utf8'));
    return Number.isInteger(revision) ? revision : undefined;
  } catch {
    return undefined;
  }
}

export async function writeRevision(directory: string, revision: number): Promise<void> {
  await writeFile(join(directory, REVISION_FILE), `${revision}\n`);
}

async function writeOrRemove(
  directory: string,
  name: string,
  text: string | undefined,
): Promise<void> {
  const path = join(directory, name);
  await (text === undefined ? rm(path, { force: true }) : writeFile(path, text));
}

/** Writes or removes the named files as in `folder` and stores its revision. */
export async function syncFiles(
  directory: string,
  folder: Folder,
  names: readonly string[],
  revision: number,
): Promise<void> {
  await Promise.all(names.map((name) => writeOrRemove(directory, name, folder[name])));
  await writeRevision(directory, revision);
}

/** Replaces the directory's configuration files by those of `folder` and stores its revision. */
export async function writeFolder(
  directory: string,
  folder: Folder,
  revision: number,
): Promise<void> {
  await mkdir(directory, { recursive: true });
  const obsolete = (await fileNames(directory)).filter((name) => !Object.hasOwn(folder, name));
  await Promise.all(obsolete.map((name) => rm(join(directory, name))));
  await Promise.all(Object.entries(folder)
    .map(([name, text]) => writeFile(join(directory, name), text)));
  await writeRevision(directory, revision);
}
