/**
 * What relaying daemons tell each other, several times a second, in one small datagram each: the
 * work that they have given to backend servers, which servers they know to leave, the version of
 * the configuration they work by, and which other daemons they know. A lost or late message only
 * makes the picture of the load older.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { IPV4 } from '../common/address.js';
import type { Load } from './serverstate.js';

/** Datagrams stay under the size that networks carry unfragmented. */
export const MAX_MESSAGE_BYTES = 1_400;

const COUNT = z.number().min(0);
const MESSAGE = z.object({
  /** The sender's address. */
  ip: z.string().regex(IPV4),
  /** Version of the configuration in force; 0 before one is known. */
  configuration: z.number(),
  /** By server: runs, prompt tokens to read, tokens of memory, tokens of standby copies. */
  loads: z.record(z.string(), z.tuple([COUNT, COUNT, COUNT, COUNT])),
  /** Servers that leave, each with the start of its process. */
  gone: z.array(z.tuple([z.string(), z.number()])),
  /** Servers that the sender doesn't reach, each with the start of its process. */
  suspect: z.array(z.tuple([z.string(), z.number()])),
  /** Servers that have started again, by the name before and the name since. */
  successors: z.array(z.tuple([z.string(), z.string()])),
  peers: z.array(z.string()),
});

export type PeerMessage = z.infer<typeof MESSAGE>;

export function encodeLoad({
  running, reading, memory, standby,
}: Load): [number, number, number, number] {
  return [running, Math.round(reading), Math.round(memory), Math.round(standby)];
}

export function decodeLoad([running, reading, memory, standby]: readonly number[]): Load {
  return {
    running: running ?? 0, reading: reading ?? 0, memory: memory ?? 0, standby: standby ?? 0,
  };
}

/** The message's bytes; what doesn't fit is left out of the lists, oldest first. */
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
