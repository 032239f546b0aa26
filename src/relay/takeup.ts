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

/** Who told the version: an instance, the store, the engines, or the lack of any other version. */
export type OriginSource = 'record' | 'store' | 'engines' | 'sole_version';

export interface FoundOrigin { readonly software: string; readonly source: OriginSource }

export interface TakeUp {
  /** Undefined if it isn't known at which version the stream began. */
  readonly origin: FoundOrigin | undefined;
  /** Prompt tokens that an engine, given by its id, has cached. */
  readonly cachedTokens: (engine: string) => number;
}

function foundAt(software: string | undefined, source: OriginSource): FoundOrigin | undefined {
  return software === undefined ? undefined : { software, source };
}

function recorded(origin: Origin, source: OriginSource): FoundOrigin | undefined {
  switch (origin.kind) {
    case 'version': return { software: origin.software, source };
    case 'ambiguous': return undefined;
  }
}

/** Whether an engine of a version has read a request's own part of the prompt, if it has one. */
function hasReader(
  engines: readonly ServerEntry[],
  software: string,
  partsByEngine: ReadonlyMap<string, CachedParts>,
  ownPart: PromptPart | undefined,
): boolean {
  if (!ownPart || ownPart.tokens === 0) return false;
  return engines.some((entry) => releaseOf(entry).software === software
    && (partsByEngine.get(entry.id)?.get(ownPart.id) ?? 0) >= ownPart.tokens);
}

/**
 * Finds out at which version a stream began. Which engines have read its prompt tells only of its
 * session, so with several versions nothing but a record does.
 */
async function findOrigin(
  { service: { name }, fields: { resumes, parts } }: Call,
  { origins, savedOrigins }: RelayContext,
  engines: readonly ServerEntry[],
  lookUp: () => Promise<ReadonlyMap<string, CachedParts>>,
): Promise<FoundOrigin | undefined> {
  // A caller that names no earlier attempt gives nothing to ask for.
  if (resumes === undefined) return foundAt(origins.soleVersion(name, 0), 'sole_version');
  const record = origins.origin(resumes) ?? await origins.seek(resumes);
  if (record) return recorded(record, 'record');
  const sole = origins.soleVersion(name, VERSION_MEMORY_MS);
  if (sole !== undefined) return foundAt(sole, 'sole_version');
  if (!await savedOrigins.read()) return undefined;
  const saved = origins.origin(resumes);
  if (saved) return recorded(saved, 'store');
  const software = savedOrigins.soleVersion(name);
  return software !== undefined && hasReader(engines, software, await lookUp(), parts.at(-1))
    ? foundAt(software, 'engines') : undefined;
}

export async function prepareTakeUp(call: Call, context: RelayContext): Promise<TakeUp> {
  const { fleet, cachedPrompts, origins } = context;
  const { name } = call.service;
  const { resumes, parts } = call.fields;
  const engines = fleet.candidates(name, []).filter(({ isLimited }) => !isLimited)
    .map(({ server }) => server.entry);
  let started: Promise<ReadonlyMap<string, CachedParts>> | undefined;
  const lookUp = () => {
    started ??= cachedPrompts.lookUp(name, engines);
    return started;
  };
  // An instance that is short of processor time asks the engines only if the version is not known.
  const cached = context.overload.isShedding ? Promise.resolve(new Map()) : lookUp();
  const [partsByEngine, origin] = await Promise.all([
    cached, findOrigin(call, context, engines, lookUp),
  ]);
  if (origin && resumes !== undefined) origins.record(resumes, origin.software);
  return {
    origin,
    cachedTokens: (engine) => cachedTokens(parts, partsByEngine.get(engine) ?? new Map()),
  };
}
