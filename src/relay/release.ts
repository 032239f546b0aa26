/**
 * What an engine runs. Engines of several software versions may serve side by side, and what two of
 * them generate doesn't fit together, so a stream continues only where the same version runs.
 */
import type { ServerEntry } from './serverentry.js';

export interface Release {
  /** Empty for engines that name no version, which count as one. */
  readonly software: string;
  /** Version of the weights; undefined if any will do. */
  readonly weights: string | undefined;
}

export function releaseOf({ software, weights }: ServerEntry): Release {
  return { software: software ?? '', weights: String(weights ?? 0) };
}

/** Stands for the version of a server whose own entry has not been read; equal to no other. */
export function unknownSoftware(server: string): string {
  return `unknown at ${server}`;
}

/** The same for a process of a server that restarted under the id that it had. */
function unknownProcess(server: string, startedAt: number): string {
  return `${unknownSoftware(server)} since ${startedAt}`;
}

/** Whether a server was found without the entry of its process. */
export function isUnknownSoftware({ id, startedAt, software }: ServerEntry): boolean {
  return software === unknownSoftware(id) || software === unknownProcess(id, startedAt);
}

/** A server that was found in place of another, until its own entry is read. */
export function successorOf(previous: ServerEntry, id: string): ServerEntry {
  return {
    ...previous, id, software: unknownSoftware(id), state: 'ready',
  };
}

/**
 * A server that was found to run another process than its entry tells, until the entry of that
 * process is read.
 */
export function restartedEntry(previous: ServerEntry, startedAt: number): ServerEntry {
  const { id } = previous;
  return {
    ...previous, startedAt, software: unknownProcess(id, startedAt), state: 'ready',
  };
}

/** @param release undefined if any release will do */
export function runsRelease(entry: ServerEntry, release: Release | undefined): boolean {
  if (!release) return true;
  const { software, weights } = releaseOf(entry);
  return software === release.software
    && (release.weights === undefined || weights === release.weights);
}
