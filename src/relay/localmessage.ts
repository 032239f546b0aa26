/** Builds the message in which this instance tells the others what it knows. */
import type { Random } from '../common/random.js';
import type { Succession } from '../liveness/successors.js';
import type { RankReport } from '../placementrank/ranks.js';
import { encodeRank } from '../placementrank/rankwire.js';
import { encodePace } from '../pace/report.js';
import type { PaceReport } from '../pace/report.js';
import type { CrashReport } from './crashnews.js';
import {
  encodeCrashes, encodeLimit, encodeLoad, encodeOrigin, encodeSuccessions, encodeUse,
} from './peermessage.js';
import type { PeerMessage } from './messageschema.js';
import { PROTOCOL } from './protocol.js';
import { isUnknownSoftware } from './release.js';
import type { ServerState } from './serverstate.js';
import type { OriginReport } from './streamorigins.js';
import type { ThrottleReport } from './throttles.js';
import type { UseReport } from './workspaceuses.js';

/** Maximum number of entries in each list of servers in a message. */
const MAX_LISTED = 16;
/** Maximum number of peers in a message. */
const MAX_PEERS_LISTED = 12;

/** The state of this instance that its messages carry. */
export interface LocalState {
  readonly configuration: number;
  readonly copies: PeerMessage['copies'];
  readonly servers: readonly ServerState[];
  readonly successors: readonly Succession[];
  readonly crashes: readonly CrashReport[];
  readonly limits: readonly ThrottleReport[];
  readonly origins: readonly OriginReport[];
  readonly sought: readonly string[];
  /** The largest first. */
  readonly uses: readonly UseReport[];
  /** The most urgent first. */
  readonly ranks: readonly RankReport[];
  readonly paces: readonly PaceReport[];
  /** Entries on rollouts, the most important first. */
  readonly rollouts: readonly unknown[];
  /** Services of which this instance reaches no server. */
  readonly unreached: readonly string[];
  /** What this instance sheds: 0 for nothing, 1 for everything but rank 0. */
  readonly overload: number;
  /** Whether nothing that this instance believes of a service's servers should be told. */
  readonly isSilent: (service: string) => boolean;
}

/**
 * Up to `count` consecutive items from a random start, so that several messages together carry a
 * list that is too long for one.
 */
function randomWindow<Item>(
  items: readonly Item[],
  count: number,
  random: Random,
): readonly Item[] {
  if (items.length <= count) return items;
  const start = random.integer(0, items.length - 1);
  return [...items.slice(start), ...items.slice(0, start)].slice(0, count);
}

function processes(servers: readonly ServerState[], random: Random): PeerMessage['gone'] {
  return randomWindow(servers, MAX_LISTED, random)
    .map(({ entry }) => [entry.id, entry.startedAt]);
}

/** A live peer, and how long ago it was last heard of. */
export interface LivePeer { readonly ip: string; readonly ageMs: number }

/** What identifies the sender: its address and zone, and the state of what it tells. */
export type Sender = Pick<PeerMessage, 'ip' | 'zone'>;

export function localMessage(
  { ip, zone }: Sender,
  {
    configuration, copies, servers, successors, crashes, limits, origins, sought, unreached,
    uses, ranks, paces, rollouts, overload, isSilent,
  }: LocalState,
  alive: readonly LivePeer[],
  random: Random,
): PeerMessage {
  const listed = randomWindow(alive, MAX_PEERS_LISTED, random);
  const told = servers.filter(({ entry }) => !isSilent(entry.service));
  const busy = told.filter((server) => (
    server.ownLoad.running > 0 || server.ownLoad.standby > 0));
  const leaving = servers.filter((server) => server.entry.state === 'leaving');
  const suspect = told.filter((server) => (
    server.health.kind === 'suspect' && server.expiresAt === undefined));
  const restarted = servers.filter(({ entry, expiresAt }) => (
    isUnknownSoftware(entry) && expiresAt === undefined));
  return {
    ip,
    protocol: PROTOCOL,
    configuration,
    copies,
    loads: Object.fromEntries(busy.map(({ entry, ownLoad }) => [entry.id, encodeLoad(ownLoad)])),
    gone: processes(leaving, random),
    suspect: processes(suspect, random),
    restarts: processes(restarted, random),
    ...encodeSuccessions(randomWindow(successors, MAX_LISTED, random)),
    peers: [ip, ...listed.map((peer) => peer.ip)],
    ages: [0, ...listed.map(({ ageMs }) => Math.max(0, Math.round(ageMs)))],
    ...encodeCrashes(crashes),
    instances: alive.length + 1,
    limits: randomWindow(limits, MAX_LISTED, random).map(encodeLimit),
    origins: origins.map(encodeOrigin),
    sought: [...sought],
    uses: uses.slice(0, MAX_LISTED).map(encodeUse),
    ranks: ranks.slice(0, MAX_LISTED).map(encodeRank),
    unreached: [...unreached],
    overload,
    paces: paces.map(encodePace),
    zone,
    state: [0, 0, 0],
    rollouts: [...rollouts],
  };
}
