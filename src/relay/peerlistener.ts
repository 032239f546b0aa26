/** Whom the messages of other instances concern. */
import type { Succession } from '../liveness/successors.js';
import { decodePace } from '../pace/report.js';
import type { PaceReport } from '../pace/report.js';
import type { CrashReport } from './crashnews.js';
import {
  decodeCrashes, decodeLimit, decodeOrigin, decodeSuccessions,
} from './peermessage.js';
import type { PeerMessage } from './messageschema.js';
import type { DecodedMessage } from './peermessage.js';
import type { OriginReport } from './streamorigins.js';
import type { ThrottleReport } from './throttles.js';

export interface PeerListener {
  /** Another instance reports that a server is leaving. */
  onLeaving(id: string, startedAt: number, from: string): void;
  /** Another instance can't reach a server. */
  onSuspect(id: string, startedAt: number, from: string): void;
  /** Another instance reports the process of a server of which it doesn't know the software. */
  onRestart(id: string, startedAt: number, from: string): void;
  /** Another instance reports that a server restarted under a new id. */
  onSuccession(succession: Succession, from: string): void;
  /** Another instance reports its copies of the store's objects. */
  onCopies(copies: PeerMessage['copies'], from: string): void;
  /** Another instance reports engines that crashed. */
  onCrashes(reports: readonly CrashReport[]): void;
  /** Another instance reports rate limits of servers. */
  onLimits(reports: readonly ThrottleReport[], from: string): void;
  /** Another instance tells how fast servers are. */
  onPaces(reports: readonly PaceReport[], from: string): void;
  /** Another instance tells where streams began. */
  onOrigins(reports: readonly OriginReport[]): void;
  /** Another instance tells of orders and evidence of rollouts. */
  onRollouts(entries: readonly unknown[], from: string): void;
  /** Where those of the given streams began of which this instance knows it. */
  originsOf(streams: readonly string[]): readonly OriginReport[];
  /** The number of live instances, this one included. */
  onInstanceCount(count: number): void;
  /** The number of live instances as another instance counts them. */
  onReportedCount(count: number): void;
  /** A message, or some fields of one, can't be read. */
  onUnread(part: 'message' | 'field'): void;
}

/**
 * Passes on what a message tells.
 * @returns where the streams began that the sender asks for
 */
export function tellListener(
  { message, told }: DecodedMessage,
  from: string,
  listener: PeerListener,
): readonly OriginReport[] {
  message.gone.forEach(([id, startedAt]) => listener.onLeaving(id, startedAt, from));
  decodeSuccessions(message).forEach((succession) => listener.onSuccession(succession, from));
  message.restarts.forEach(([id, startedAt]) => listener.onRestart(id, startedAt, from));
  message.suspect.forEach(([id, startedAt]) => listener.onSuspect(id, startedAt, from));
  if (told.has('copies')) listener.onCopies(message.copies, from);
  // A partial message doesn't count the instances.
  if (message.state[2] === 0) listener.onReportedCount(message.instances);
  if (message.limits.length > 0) listener.onLimits(message.limits.map(decodeLimit), from);
  if (message.paces.length > 0) listener.onPaces(message.paces.map(decodePace), from);
  if (message.crashes.length > 0) listener.onCrashes(decodeCrashes(message));
  if (message.origins.length > 0) listener.onOrigins(message.origins.map(decodeOrigin));
  if (message.rollouts.length > 0) listener.onRollouts(message.rollouts, from);
  return message.sought.length > 0 ? listener.originsOf(message.sought) : [];
}
