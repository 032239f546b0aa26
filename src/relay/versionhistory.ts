/** The software versions that the engines of one service have run lately. Immutable. */

/**
 * Time after which a stream that began at a version no longer seen can't be taken up any more:
 * twice the longest time that callers wait.
 */
export const VERSION_MEMORY_MS = 60_000;

export interface VersionHistory {
  /** Since when the service's engines have been observed without a gap. */
  readonly since: number;
  /** When each version was last seen. */
  readonly seenAt: ReadonlyMap<string, number>;
}

export function withVersions(
  history: VersionHistory | undefined,
  versions: Iterable<string>,
  now: number,
): VersionHistory {
  const remembered = [...history?.seenAt ?? []].filter(([, at]) => now - at < VERSION_MEMORY_MS);
  const seen = [...versions].map((version) => [version, now] as const);
  return { since: history?.since ?? now, seenAt: new Map([...remembered, ...seen]) };
}

/** Begins anew with what is known, after a time in which versions may have been missed. */
export function withGap(history: VersionHistory, now: number): VersionHistory {
  return { ...history, since: now };
}

/** The only version seen, if the service has been observed for `observedMs`. */
export function soleVersion(
  { since, seenAt }: VersionHistory,
  observedMs: number,
  now: number,
): string | undefined {
  return seenAt.size === 1 && now - since >= observedMs ? [...seenAt.keys()][0] : undefined;
}
