/**
 * Prepares to continue a stream of which the caller already has events: finds out at which software
 * version it began, and which engines still have its prompt cached.
 */
import { cachedTokens } from './cachedprompts.js';
import type { CachedParts } from './cachedprompts.js';
import type { Call } from './call.js';
import type { RelayContext } from './context.js';
import type { PromptPart } from './dialect.js';
import { releaseOf } from './release.js';
import type { ServerEntry } from './serverentry.js';
import type { Origin } from './streamorigins.js';
import { VERSION_MEMORY_MS } from './versionhistory.js';

export const UNKNOWN_ORIGIN_MESSAGE = 'the software version that began the stream is not known';

/** Who told the version: an instance's record, the engines, or the lack of any other version. */
export type OriginSource = 'record' | 'engines' | 'sole_version';

export interface FoundOrigin { readonly software: string; readonly source: OriginSource }

export interface TakeUp {
  /** Undefined if it isn't known at which version the stream began. */
  readonly origin: FoundOrigin | undefined;
  /** Prompt tokens that an engine, given by its id, has cached. */
  readonly cachedTokens: (engine: string) => number;
}

/** The version of the engines that have read a request's own part of the prompt, if it is one. */
export function versionOfReaders(
  engines: readonly ServerEntry[],
  partsByEngine: ReadonlyMap<string, CachedParts>,
  ownPart: PromptPart | undefined,
): string | undefined {
  if (!ownPart || ownPart.tokens === 0) return undefined;
  const readers = engines.filter(({ id }) => (
    (partsByEngine.get(id)?.get(ownPart.id) ?? 0) >= ownPart.tokens));
  const versions = new Set(readers.map((entry) => releaseOf(entry).software));
  return versions.size === 1 ? [...versions][0] : undefined;
}

function foundAt(software: string | undefined, source: OriginSource): FoundOrigin | undefined {
  return software === undefined ? undefined : { software, source };
}

/** @param record what the instances remember; without it, `elsewhere` is asked */
function chooseOrigin(
  record: Origin | undefined,
  elsewhere: () => FoundOrigin | undefined,
): FoundOrigin | undefined {
  switch (record?.kind) {
    case 'version': return foundAt(record.software, 'record');
    case 'ambiguous': return undefined;
    case undefined: return elsewhere();
  }
}

export async function prepareTakeUp(call: Call, context: RelayContext): Promise<TakeUp> {
  const { fleet, cachedPrompts, origins } = context;
  const { name } = call.service;
  const { resumes, parts } = call.fields;
  const engines = fleet.candidates(name, []).filter(({ isLimited }) => !isLimited)
    .map(({ server }) => server.entry);
  const known = resumes === undefined ? undefined : origins.origin(resumes);
  const [partsByEngine, record] = await Promise.all([
    cachedPrompts.lookUp(name, engines),
    known || resumes === undefined ? known : origins.seek(resumes),
  ]);
  // A caller that names no earlier attempt gives nothing to ask for.
  const observedMs = resumes === undefined ? 0 : VERSION_MEMORY_MS;
  const origin = chooseOrigin(record, () => (
    foundAt(versionOfReaders(engines, partsByEngine, parts.at(-1)), 'engines')
      ?? foundAt(origins.soleVersion(name, observedMs), 'sole_version')));
  if (origin && resumes !== undefined) origins.record(resumes, origin.software);
  return {
    origin,
    cachedTokens: (engine) => cachedTokens(parts, partsByEngine.get(engine) ?? new Map()),
  };
}
