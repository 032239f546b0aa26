/**
 * Finds connections that wait for the rest of a request's body and have brought nothing for a time,
 * so that they can give way to new ones. Each look at all connections is used for the new ones that
 * come soon after it.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** A body that pauses for longer gives way. */
const STALL_MS = 1_000;
const SAMPLE_INTERVAL_MS = 250;
/** The longest time between two connections that give way, if others are there. */
const MAX_SPACING_MS = 10;

/** What was read of a connection, and since when it is no more. */
interface Sample { readonly bytesRead: number; readonly since: number }

/** Connections, each with the response to its latest request while it is open. */
export type Responses = Iterable<
  readonly [Socket, { readonly latest: ServerResponse | undefined }]
>;

export class StalledBodies {
  #samples = new Map<Socket, Sample>();

  #sampledAt = -Infinity;

  /** The last is the one that has stalled for the longest time. */
  #stalled: Socket[] = [];

  /** Time between two connections that give way: callers that are closed together come together. */
  #spacingMs = 0;

  #nextAt = -Infinity;

  private constructor() {
    // Made by `of`.
  }

  static of(): StalledBodies {
    return new StalledBodies();
  }

  /** The connection that has stalled for the longest time; undefined if none may give way now. */
  take(responses: Responses, now: number): Socket | undefined {
    if (now - this.#sampledAt >= SAMPLE_INTERVAL_MS) this.#sample(responses, now);
    const socket = now < this.#nextAt ? undefined : this.#stalled.pop();
    if (!socket) return undefined;
    const isStalled = !socket.destroyed
      && socket.bytesRead === this.#samples.get(socket)?.bytesRead;
    if (!isStalled) return this.take(responses, now);
    this.#nextAt = now + this.#spacingMs;
    return socket;
  }

  #sample(responses: Responses, now: number): void {
    const waiting = [...responses].flatMap(([socket, { latest }]): [Socket, Sample][] => {
      if (!latest || latest.req.complete) return [];
      const { bytesRead } = socket;
      const known = this.#samples.get(socket);
      return [[socket, known?.bytesRead === bytesRead ? known : { bytesRead, since: now }]];
    });
    this.#sampledAt = now;
    this.#samples = new Map(waiting);
    this.#stalled = waiting.filter(([, { since }]) => now - since >= STALL_MS)
      .sort(([, left], [, right]) => right.since - left.since)
      .map(([socket]) => socket);
    this.#spacingMs = Math.min(MAX_SPACING_MS, STALL_MS / this.#stalled.length);
  }
}
