/** What a service runs, as far as the steps of a rollout depend on it. */
import type { ServiceView } from '../rollout/progress.js';
import type { PeerLoads } from './fleetcontext.js';
import { isUnknownSoftware, releaseOf } from './release.js';
import type { ServerEntry } from './serverentry.js';
import { isUsable } from './serverstate.js';
import type { ServerState } from './serverstate.js';

export function versionOf(entry: ServerEntry): string {
  return releaseOf(entry).software;
}

/** Whether a server was found in place of another, and its own entry has not been read. */
export function isUnread(entry: ServerEntry): boolean {
  return isUnknownSoftware(entry);
}

function slotsOf(servers: readonly ServerState[], now: number): number {
  return servers.filter((server) => isUsable(server, now))
    .reduce((all, { entry }) => all + entry.slots, 0);
}

export function serviceView({
  service, target, servers, peerLoads, now,
}: {
  readonly service: string;
  readonly target: string;
  readonly servers: readonly ServerState[];
  readonly peerLoads: PeerLoads;
  readonly now: number;
}): ServiceView {
  // Those that leave still run requests.
  const all = servers.filter(({ entry }) => entry.service === service);
  const others = all.filter(({ entry }) => versionOf(entry) !== target);
  const own = others.reduce((sum, { ownLoad }) => sum + ownLoad.running, 0);
  const elsewhere = others.flatMap(({ entry }) => peerLoads(entry.id))
    .reduce((sum, { running }) => sum + running, 0);
  return {
    targetSlots: slotsOf(all.filter(({ entry }) => versionOf(entry) === target), now),
    otherSlots: slotsOf(others, now),
    ownOthersRunning: own,
    othersRunning: own + elsewhere,
  };
}
