/**
 * The message that relay daemons send each other several times a second, as one small datagram: the
 * load that the sender has assigned to backend servers, the servers it knows to be leaving or can't
 * reach, how current its copies of the store's objects are, and the other daemons it knows. A lost
 * or late message only delays the receiver's view of the load.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { IPV4 } from '../common/address.js';
import type { Load } from './serverstate.js';

/** Keeps datagrams below the size at which networks fragment them. */
export const MAX_MESSAGE_BYTES = 1_400;

const COUNT = z.number().min(0);
const REPORT = z.object({ newestChange: COUNT, ageMs: COUNT }).optional();
const MESSAGE = z.object({
  /** The sender's IP address. */
  ip: z.string().regex(IPV4),
  /** Version of the active configuration; 0 before one is known. */
  configuration: z.number(),
  /** The sender's copies of the store's objects; empty from daemons that don't report them. */
  copies: z.object({ configuration: REPORT, servers: REPORT }).default({}),
  /** By server: runs, prompt tokens to prefill, memory tokens, standby tokens. */
  loads: z.record(z.string(), z.tuple([COUNT, COUNT, COUNT, COUNT])),
  /** Leaving servers, each with the start time of its process. */
  gone: z.array(z.tuple([z.string(), z.number()])),
  /** Servers that the sender can't reach, each with the start time of its process. */
  suspect: z.array(z.tuple([z.string(), z.number()])),
  /** Restarted servers, each with its previous and its new id. */
  successors: z.array(z.tuple([z.string(), z.string()])),
  peers: z.array(z.string()),
});

export type PeerMessage = z.infer<typeof MESSAGE>;

export function encodeLoad({
  running, prefillTokens, memoryTokens, standby,
}: Load): [number, number, number, number] {
  return [
    running,
    Math.round(prefillTokens),
    Math.round(memoryTokens),
    Math.round(standby),
  ];
}

export function decodeLoad(
  [running, prefillTokens, memoryTokens, standby]: readonly number[],
): Load {
  return {
    running: running ?? 0,
    prefillTokens: prefillTokens ?? 0,
    memoryTokens: memoryTokens ?? 0,
    standby: standby ?? 0,
  };
}

/** Encodes a message; the first halves of its lists are dropped until it fits. */
export function encodeMessage(message: PeerMessage): Buffer {
  let bytes = Buffer.from(JSON.stringify(message));
  let {
    gone, suspect, successors, peers,
  } = message;
  while (bytes.length > MAX_MESSAGE_BYTES
    && gone.length + suspect.length + successors.length + peers.length > 0) {
    successors = successors.slice(Math.ceil(successors.length / 2));
    gone = gone.slice(Math.ceil(gone.length / 2));
    suspect = suspect.slice(Math.ceil(suspect.length / 2));
    peers = peers.slice(Math.ceil(peers.length / 2));
    bytes = Buffer.from(JSON.stringify({
      ...message, gone, suspect, successors, peers,
    }));
  }
  return bytes;
}

export function decodeMessage(bytes: Buffer): Result<PeerMessage, string> {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString('utf8'));
  } catch (error) {
    return err(String(error));
  }
  const parsed = MESSAGE.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}
