/**
 * The demand that daemons share in their heartbeats, as placement reads it: generations per model,
 * and streams that still run on versions other than the configured ones.
 */
import { z } from 'zod';
import type { Member } from '../membership/instances.js';
import type { SoftEntry } from '../membership/softstate.js';
import { versionedName } from './inventory.js';
import type { DeploymentDemand } from './targets.js';

/** Key of each daemon's own generations per model, a `ModelDemand`. */
export const MODEL_DEMAND_KEY = 'demand/models';
/** Key of each daemon's own streams on versions that aren't configured, an `OldStreams`. */
export const OLD_STREAMS_KEY = 'streams/old';

const count = z.number().int().nonnegative();

const modelDemandSchema = z.record(z.string(), z.object({ running: count, waiting: count }));

const oldStreamsSchema = z.object({
  /** The configuration revision by which the daemon starts streams. */
  revision: count,
  streams: z.array(z.object({ server: z.string(), copy: z.string(), running: count })),
});

export type ModelDemand = z.infer<typeof modelDemandSchema>;
export type OldStreams = z.infer<typeof oldStreamsSchema>;

/** Sums the demand of all daemons per model; entries that can't be parsed are skipped. */
export function totalDemand(entries: readonly SoftEntry[]): ReadonlyMap<string, DeploymentDemand> {
  const total = new Map<string, DeploymentDemand>();
  entries.filter((entry) => entry.key === MODEL_DEMAND_KEY).forEach((entry) => {
    const parsed = modelDemandSchema.safeParse(entry.value);
    if (!parsed.success) return;
    Object.entries(parsed.data).forEach(([model, { running, waiting }]) => {
      const previous = total.get(model) ?? { running: 0, waiting: 0 };
      total.set(model, {
        running: previous.running + running, waiting: previous.waiting + waiting,
      });
    });
  });
  return total;
}

export type StreamCount = (server: string, model: string, version: string) => number | undefined;

/**
 * Counts all daemons' streams on a model version that new streams don't use. The count is undefined
 * until every member has reported at `revision` or later, because a member at an earlier revision
 * may still start streams on that version.
 */
export function oldStreamCounts(
  entries: readonly SoftEntry[],
  members: readonly Member[],
  revision: number,
): StreamCount {
  const reports = new Map(entries.filter((entry) => entry.key === OLD_STREAMS_KEY)
    .flatMap((entry) => {
      const parsed = oldStreamsSchema.safeParse(entry.value);
      return parsed.success && parsed.data.revision >= revision
        ? [[entry.origin, parsed.data] as const]
        : [];
    }));
  if (!members.every((member) => reports.has(member.name))) return () => undefined;
  const counts = new Map<string, number>();
  reports.forEach(({ streams }) => streams.forEach(({ server, copy, running }) => {
    const key = `${server}\n${copy}`;
    counts.set(key, (counts.get(key) ?? 0) + running);
  }));
  return (server, model, version) => counts.get(`${server}\n${versionedName(model, version)}`) ?? 0;
}
