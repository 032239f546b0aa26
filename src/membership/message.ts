/**
 * Messages between daemons. Every message names the protocol version it is written in; a daemon
 * that meets another version answers `unsupported` and goes on without exchanging state.
 */
import { z } from 'zod';

/** Grows when a message changes in a way that an older daemon would misread. */
export const PROTOCOL = 1;

const MAX_NAME = 128;
export const MAX_KEY = 256;
const MAX_ITEMS = 4_096;

const name = z.string().min(1).max(MAX_NAME);
const count = z.number().int().nonnegative();

/** What one daemon says of another, or of itself. */
const recordSchema = z.object({
  name,
  zone: z.string().max(MAX_NAME),
  peerAddress: z.string().max(MAX_NAME),
  /** Grows each time the daemon starts. */
  incarnation: count,
  /** Grows each time the daemon denies that it is suspect or dead. */
  refutation: count,
  condition: z.enum(['alive', 'suspect', 'dead']),
  leaving: z.boolean(),
});

/** One key of one daemon's shared state; `version` grows with each change by that daemon. */
const entrySchema = z.object({
  origin: name,
  incarnation: count,
  key: z.string().min(1).max(MAX_KEY),
  version: count,
  /** Absent when the key was withdrawn. */
  value: z.unknown().optional(),
});

const senderSchema = z.object({ name, incarnation: count });

/** Which of the sender's changes the message carries, and which of the receiver's it has. */
const syncSchema = z.object({
  /** The message carries the changes after this one, up to and with `upto`. */
  from: count,
  upto: count,
  ack: count,
  /** The receiver's incarnation that `ack` counts in. */
  ackIncarnation: count,
});

const protocolSchema = z.number().int();

const heartbeatSchema = z.object({
  kind: z.literal('heartbeat'),
  protocol: protocolSchema,
  sender: senderSchema,
  records: z.array(recordSchema).max(MAX_ITEMS),
  entries: z.array(entrySchema).max(MAX_ITEMS),
  /** Absent when the message only asks for a sign of life. */
  sync: syncSchema.optional(),
});

/** Asks the receiver to try `target` on the sender's behalf. */
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
  /** The version that the answering daemon speaks. */
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

/** The protocol version a message claims, whatever the rest of it looks like. */
export function protocolOf(message: unknown): number | undefined {
  const parsed = z.object({ protocol: protocolSchema }).safeParse(message);
  return parsed.success ? parsed.data.protocol : undefined;
}
