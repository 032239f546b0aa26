/**
 * The message that relay daemons send each other, as one small datagram: the load that the sender
 * has assigned to backend servers, the servers it knows to be leaving or can't reach, how current
 * its copies of the store's objects are, and the other daemons it knows. A full message tells all
 * of it; between two of them, partial ones tell changes of loads and the like. A lost or late
 * message only delays the receiver's view of the load.
 *
 * Builds of different ages read each other's messages: unknown fields and further values in an
 * entry are ignored, and an entry or a field that can't be read is left out alone.
 *
 * A new field needs a schema with a default in `messageschema.ts` and a line in `localMessage`; it
 * then is in every full message. A field that is often there gets a hand-written check in
 * `messagecheck.ts`, without which its schema reads it. `sendSoon` of `Peers` tells an urgent
 * change in full messages; `messagechanges.ts` names what partial ones carry.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { Succession } from '../liveness/successors.js';
import type { AnswerReport, CrashReport } from './crashnews.js';
import type { Load } from './serverstate.js';
import { CHECKS, isObject } from './messagecheck.js';
import { entriesOf, withoutIssues } from './messagerest.js';
import { MESSAGE } from './messageschema.js';
import type { ANSWER, PeerMessage } from './messageschema.js';
import type { OriginReport } from './streamorigins.js';
import type { ThrottleReport } from './throttles.js';
import type { UseReport } from './workspaceuses.js';

/** Keeps datagrams below the size at which networks fragment them. */
export const MAX_MESSAGE_BYTES = 1_400;

export interface DecodedMessage {
  readonly message: PeerMessage;
  /** Fields that can't be read, or not whole; what can't be read of them is left out. */
  readonly unread: readonly string[];
  /** Fields that the message names, as far as they can be read; the others have their defaults. */
  readonly told: ReadonlySet<string>;
}

const FIELDS = Object.entries(MESSAGE.shape);
const DEFAULTS: Readonly<Record<string, unknown>> = MESSAGE.omit({ ip: true }).parse({});
/** Texts of fields that a message between current builds leaves out. */
const DEFAULT_TEXTS = new Map(Object.entries(DEFAULTS)
  .map(([name, value]) => [name, JSON.stringify(value)]));

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
  [running, prefillTokens, memoryTokens, standby]: PeerMessage['loads'][string],
): Load {
  return {
    running, prefillTokens, memoryTokens, standby,
  };
}

type EncodedAnswers = z.infer<typeof ANSWER>[];

function encodeAnswers(answers: readonly AnswerReport[]): EncodedAnswers {
  return answers.map(({ subject, answerAgeMs }) => [subject, answerAgeMs ?? null]);
}

function decodeAnswers(answers: EncodedAnswers): readonly AnswerReport[] {
  return answers.map(([subject, answerAgeMs]) => (
    { subject, answerAgeMs: answerAgeMs ?? undefined }));
}

export function encodeCrashes(
  crashes: readonly CrashReport[],
): Pick<PeerMessage, 'crashes' | 'crashRequests'> {
  return {
    crashes: crashes.map(({
      server, ageMs, started, parts, previous,
    }) => [server, ageMs, started, encodeAnswers(parts), [...previous]]),
    crashRequests: crashes.map(({ aliveAgeMs, requests }) => (
      [aliveAgeMs ?? null, encodeAnswers(requests)])),
  };
}

export function decodeCrashes({ crashes, crashRequests }: PeerMessage): readonly CrashReport[] {
  return crashes.map(([server, ageMs, started, parts, previous], index) => {
    const [aliveAgeMs, requests] = crashRequests[index] ?? [null, []];
    return {
      server,
      ageMs,
      aliveAgeMs: aliveAgeMs ?? undefined,
      started,
      parts: decodeAnswers(parts),
      requests: decodeAnswers(requests),
      previous,
    };
  });
}

export function encodeLimit({
  server, startedAt, perSecond, ageMs, inUse,
}: ThrottleReport): PeerMessage['limits'][number] {
  return [server, startedAt, perSecond ?? null, ageMs, inUse];
}

export function decodeLimit(
  [server, startedAt, perSecond, ageMs, inUse]: PeerMessage['limits'][number],
): ThrottleReport {
  return {
    server, startedAt, perSecond: perSecond ?? undefined, ageMs, inUse,
  };
}

export function encodeOrigin({ stream, origin }: OriginReport): PeerMessage['origins'][number] {
  switch (origin.kind) {
    case 'version': return [stream, origin.software];
    case 'ambiguous': return [stream, null];
  }
}

export function decodeOrigin([stream, software]: PeerMessage['origins'][number]): OriginReport {
  return {
    stream, origin: software === null ? { kind: 'ambiguous' } : { kind: 'version', software },
  };
}

/** Entries in the form of the first protocol may not grow, so that the times have their own. */
export function encodeSuccessions(
  successions: readonly Succession[],
): Pick<PeerMessage, 'successors' | 'successions'> {
  return {
    successors: successions.map(({ previousId, id }) => [previousId, id]),
    successions: successions.flatMap(({ previousId, id, goneMs }) => (
      goneMs === undefined ? [] : [[previousId, id, Math.ceil(goneMs)]])),
  };
}

export function decodeSuccessions(
  { successors, successions }: PeerMessage,
): readonly Succession[] {
  const timed = new Set(successions.map(([previousId]) => previousId));
  return [
    ...successions.map(([previousId, id, goneMs]) => ({ previousId, id, goneMs })),
    ...successors.filter(([previousId]) => !timed.has(previousId))
      .map(([previousId, id]) => ({ previousId, id, goneMs: undefined })),
  ];
}

export function encodeUse({ service, workspace, tokens }: UseReport): PeerMessage['uses'][number] {
  return [service, workspace, Math.round(tokens)];
}

export function decodeUse([service, workspace, tokens]: PeerMessage['uses'][number]): UseReport {
  return { service, workspace, tokens };
}

function firstHalf<Item>(items: readonly Item[]): Item[] {
  return items.slice(0, Math.floor(items.length / 2));
}

function secondHalf<Item>(items: readonly Item[]): Item[] {
  return items.slice(Math.ceil(items.length / 2));
}

/** A shorter message; undefined if there is nothing left that it can do without. */
function shortened(message: PeerMessage): PeerMessage | undefined {
  const {
    gone, suspect, successors, peers, ages, crashes, crashRequests, limits, origins, sought, uses,
    paces, ranks, rollouts, successions, restarts,
  } = message;
  const lists = [
    gone, suspect, restarts, successors, successions, peers, limits, origins, sought, uses, paces,
    ranks, rollouts,
  ];
  if (lists.some(({ length }) => length > 0)) {
    return {
      ...message,
      gone: secondHalf(gone),
      suspect: secondHalf(suspect),
      restarts: secondHalf(restarts),
      successors: secondHalf(successors),
      successions: secondHalf(successions),
      peers: secondHalf(peers),
      ages: secondHalf(ages),
      limits: secondHalf(limits),
      origins: secondHalf(origins),
      sought: secondHalf(sought),
      paces: secondHalf(paces),
      // The largest uses come first.
      uses: firstHalf(uses),
      // The most urgent ranks come first.
      ranks: firstHalf(ranks),
      // Orders come before evidence, of which each message carries a part.
      rollouts: firstHalf(rollouts),
    };
  }
  if (crashes.length <= 1) return undefined;
  return {
    ...message, crashes: secondHalf(crashes), crashRequests: secondHalf(crashRequests),
  };
}

/**
 * Encodes a message; the first halves of its lists are dropped until it fits. The last crash always
 * stays: it is the newest, and rarely there.
 */
export function encodeMessage(message: PeerMessage): Buffer {
  const bytes = Buffer.from(JSON.stringify(message));
  const shorter = bytes.length > MAX_MESSAGE_BYTES ? shortened(message) : undefined;
  return shorter ? encodeMessage(shorter) : bytes;
}

/** Encodes what current builds need of a message: they know the defaults of what is left out. */
export function encodeCompact(message: PeerMessage): Buffer {
  const part = Object.fromEntries(Object.entries(message).filter(([name, value]) => (
    name === 'protocol' || JSON.stringify(value) !== DEFAULT_TEXTS.get(name))));
  const bytes = Buffer.from(JSON.stringify(part));
  const shorter = bytes.length > MAX_MESSAGE_BYTES ? shortened(message) : undefined;
  return shorter ? encodeCompact(shorter) : bytes;
}

/** A message in which every field can be read whole; undefined for any other. */
function readSound(value: unknown): PeerMessage | undefined {
  if (!isObject(value)) return undefined;
  const message: Record<string, unknown> = {};
  const isSound = FIELDS.every(([name, schema]) => {
    const field = value[name];
    const check = CHECKS[name];
    if (field === undefined) message[name] = DEFAULTS[name];
    else if (check) message[name] = check(field) ? field : undefined;
    else message[name] = schema.safeParse(field).data;
    return message[name] !== undefined;
  });
  return isSound ? message as unknown as PeerMessage : undefined;
}

export function decodeMessage(bytes: Buffer): Result<DecodedMessage, string> {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString('utf8'));
  } catch (error) {
    return err(String(error));
  }
  const sound = readSound(value);
  if (sound) return ok({ message: sound, unread: [], told: new Set(Object.keys(value as object)) });
  const whole = MESSAGE.safeParse(value);
  const issues = whole.error?.issues ?? [];
  const unread = [...new Set(issues.map(({ path }) => String(path[0])))];
  const readable = withoutIssues(value, issues);
  const rest = MESSAGE.safeParse(readable);
  return rest.success
    ? ok({ message: rest.data, unread, told: new Set(entriesOf(readable).keys()) })
    : err(z.prettifyError(whole.error ?? rest.error));
}
