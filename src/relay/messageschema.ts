/** The fields of the messages that relay daemons send each other; `peermessage.ts` says how. */
import { z } from 'zod';
import { isIpv4 } from '../common/address.js';
import { PACE } from '../pace/report.js';
import { RANK } from '../placementrank/rankwire.js';
import { VERSION_LIMIT } from '../store/epoch.js';
import { OLDEST_PROTOCOL } from './protocol.js';
import { isServerId } from './serverentry.js';

/** Up to the largest that can still be counted on by one. */
const COUNT = z.number().min(0).max(Number.MAX_SAFE_INTEGER);
const ADDRESS = z.string().refine(isIpv4);
const SERVER = z.string().refine(isServerId);
/** A change that no store can have made would be missing for good. */
const REPORT = z.object({
  newestChange: z.number().int().min(0).lt(VERSION_LIMIT), ageMs: COUNT,
}).optional();
/** A crash as instances tell it, in the order of `CrashReport`; null for a part without answer. */
export const ANSWER = z.tuple([z.string(), COUNT.nullable()], z.unknown());
const CRASH = z.tuple([
  z.string(), COUNT, z.boolean(), z.array(ANSWER), z.array(z.string()),
], z.unknown());
/**
 * The requests of the crash at the same place in `crashes`, each with the age of its last answer,
 * and the time since the server was last seen to run before it.
 */
const CRASH_REQUESTS = z.tuple([COUNT.nullable(), z.array(ANSWER)], z.unknown());
/** A rate limit in the order of `ThrottleReport`; null for a server that names none any more. */
const LIMIT = z.tuple([z.string(), COUNT, COUNT.nullable(), COUNT, z.boolean()], z.unknown());
/** A stream and the software version that began it; null if that is ambiguous. */
export const ORIGIN = z.tuple([z.string(), z.string().nullable()], z.unknown());
/** A service, a workspace, and the tokens of memory that it uses there. */
const USE = z.tuple([z.string(), z.string(), COUNT], z.unknown());
/** A server and the start time of its process. */
const PROCESS = z.tuple([z.string(), COUNT], z.unknown());
export const MESSAGE = z.object({
  /** The sender's IP address. */
  ip: ADDRESS,
  protocol: z.number().int().min(OLDEST_PROTOCOL).default(OLDEST_PROTOCOL),
  /** Version of the active configuration; 0 before one is known. */
  configuration: z.number().default(0),
  /** The sender's copies of the store's objects; empty from daemons that don't report them. */
  copies: z.object({ configuration: REPORT, servers: REPORT }).default({}),
  /** By server: runs, prompt tokens to prefill, memory tokens, standby tokens. */
  loads: z.record(z.string(), z.tuple([COUNT, COUNT, COUNT, COUNT], z.unknown())).default({}),
  /** Leaving servers. */
  gone: z.array(PROCESS).default([]),
  /** Servers that the sender can't reach. */
  suspect: z.array(PROCESS).default([]),
  /** Restarted servers, each with its previous and its new id. */
  successors: z.array(z.tuple([SERVER, SERVER], z.unknown())).default([]),
  peers: z.array(ADDRESS).default([]),
  /** Crashed engines and the prompt parts involved; empty from daemons that don't report them. */
  crashes: z.array(CRASH).default([]),
  /** Empty from daemons that don't report them. */
  crashRequests: z.array(CRASH_REQUESTS).default([]),
  /** Live instances, the sender included; 0 from daemons that don't report it. */
  instances: COUNT.default(0),
  /** Rate limits of servers; empty from daemons that don't report them. */
  limits: z.array(LIMIT).default([]),
  /** Services of which the sender reaches no server. */
  unreached: z.array(z.string()).default([]),
  /** Where streams began; empty from daemons that don't report it. */
  origins: z.array(ORIGIN).default([]),
  /** Room that workspaces use by way of the sender; empty from daemons that don't report it. */
  uses: z.array(USE).default([]),
  /** The sender's demand by priority rank; empty from daemons that don't report it. */
  ranks: z.array(RANK).default([]),
  /** How fast servers are, by what the sender observed; empty from daemons that don't report it. */
  paces: z.array(PACE).default([]),
  /** The same as `successors`, with how long at most, in ms, the server had been gone. */
  successions: z.array(z.tuple([SERVER, SERVER, COUNT], z.unknown())).default([]),
  /** Servers of unknown software, which may have restarted under the ids that they had. */
  restarts: z.array(PROCESS).default([]),
  /** Streams of which the sender wants to know where they began. */
  sought: z.array(z.string()).default([]),
  /** What the sender sheds: 0 for nothing, 1 for everything but rank 0. */
  overload: z.number().min(0).max(1).default(0),
  /** How long ago each of `peers` was last heard of; empty from daemons that don't report it. */
  ages: z.array(COUNT).default([]),
  /** The sender's zone; empty from daemons that don't report it. */
  zone: z.string().default(''),
  /**
   * Identifies the sender's process, the version of what it tells, and the version from which on
   * this message tells all changes: 0 in a full message. The process is 0 from older daemons.
   */
  state: z.tuple([COUNT, COUNT, COUNT], z.unknown()).default([0, 0, 0]),
  /** Orders and evidence of rollouts, each read by itself; empty where there are none. */
  rollouts: z.array(z.unknown()).default([]),
});

export type PeerMessage = z.infer<typeof MESSAGE>;
