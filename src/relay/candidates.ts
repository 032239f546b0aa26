/** The servers that a request may be sent to, with what is known of their load. */
import type { FleetContext } from './fleetcontext.js';
import { totalLoad } from './selection.js';
import type { Candidate } from './selection.js';
import type { ServerEntry } from './serverentry.js';
import { isUsable } from './serverstate.js';
import type { ServerState } from './serverstate.js';

export interface Choice {
  readonly service: string;
  /** Servers that are not to be used, by id. */
  readonly exclude: readonly string[];
  readonly servers: readonly ServerState[];
  readonly now: number;
  readonly zoneSuspect: (entry: ServerEntry) => boolean;
}

/** The usable servers of a service, shuffled so that instances don't all pick the same one. */
export function candidatesOf(
  {
    service, exclude, servers, now, zoneSuspect,
  }: Choice,
  {
    random, peerLoads, admission, paces,
  }: FleetContext,
): readonly Candidate[] {
  const usable = servers.filter((server) => server.entry.service === service
    && isUsable(server, now) && !exclude.includes(server.entry.id));
  return random.shuffled(usable).map((server) => {
    const { entry } = server;
    const load = totalLoad(server.ownLoad, peerLoads(entry.id));
    const seen = {
      server, load, zoneSuspect: zoneSuspect(entry), pace: paces?.pacing(entry),
    };
    return { ...seen, ...admission(entry, load) };
  });
}
