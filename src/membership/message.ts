/**
 * Schemas of the messages between daemons. Every message carries its protocol version; a daemon
 * that receives another version answers `unsupported` and exchanges no state with that peer.
 */
import { z } from 'zod';

/** Increased when a message changes in a way that an older daemon would misinterpret. */
export const PROTOCOL = 1;

const MAX_NAME = 128;
export const MAX_KEY = 256;
const MAX_ITEMS = 4_096;

const name = z.string().min(1).max(MAX_NAME);
const count = z.number().int().nonnegative();

/** A daemon's view of a member, possibly of itself. */
const recordSchema = z.object({
  name,
  zone: z.string().max(MAX_NAME),
  peerAddress: z.string().max(MAX_NAME),
  /** Increases with each start of the daemon. */
  incarnation: count,
  /** Increases each time the daemon refutes that it is suspect or dead. */
  refutation: count,
  condition: z.enum(['alive', 'suspect', 'dead']),
  leaving: z.boolean(),
});

/** One key of a daemon's shared state; `version` increases with each change by that daemon. */
const entrySchema = z.object({
  origin: name,
  incarnation: count,
  key: z.string().min(1).max(MAX_KEY),
  version: count,
  /** Absent when the key was withdrawn. */
  value: z.unknown().optional(),
});

const senderSchema = z.object({ name, incarnation: count });

/** The sender's changes in this message, and the receiver's changes that it acknowledges. */
const syncSchema = z.object({
  /** The message contains the changes after `from`, up to and including `upto`. */
  from: count,
  upto: count,
  ack: count,
  /** The receiver's incarnation whose sequence `ack` refers to. */
  ackIncarnation: count,
});

const protocolSchema = z.number().int();

const heartbeatSchema = z.object({
  kind: z.literal('heartbeat'),
  protocol: protocolSchema,
  sender: senderSchema,
  records: z.array(recordSchema).max(MAX_ITEMS),
  entries: z.array(entrySchema).max(MAX_ITEMS),
  /** Absent when the message only checks that the receiver answers. */
  sync: syncSchema.optional(),
});

/** An indirect probe: asks the receiver to contact `target` on the sender's behalf. */
const probeSchema = z.object({
  kind: z.literal('probe'),
  protocol: protocolSchema,
  sender: senderSchema,
  target: name,
  peerAddress: z.string().max(MAX_NAME),
});

const probedSchema = z.object({
  kind: z.literal('probed'),
  protocol: protocolSchema,
  target: name,
  reached: z.boolean(),
});

const unsupportedSchema = z.object({
  kind: z.literal('unsupported'),
  /** The version of the daemon that sends this answer. */
  protocol: protocolSchema,
});

export const requestSchema = z.discriminatedUnion('kind', [heartbeatSchema, probeSchema]);

export const answerSchema = z.discriminatedUnion('kind', [
  heartbeatSchema, probedSchema, unsupportedSchema,
]);

export type RecordMessage = z.infer<typeof recordSchema>;
export type EntryMessage = z.infer<typeof entrySchema>;
export type Sync = z.infer<typeof syncSchema>;
export type Heartbeat = z.infer<typeof heartbeatSchema>;
export type Probe = z.infer<typeof probeSchema>;
export type PeerRequest = z.infer<typeof requestSchema>;
export type PeerAnswer = z.infer<typeof answerSchema>;

/** The protocol version of a message whose other fields may be invalid. */
export function protocolOf(message: unknown): number | undefined {
  const parsed = z.object({ protocol: protocolSchema }).safeParse(message);
  return parsed.success ? parsed.data.protocol : undefined;
}
