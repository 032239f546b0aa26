/**
 * A crowd of clients whose input or answers the program has to bound. All send the same buffers, so
 * that they need little memory themselves, and none closes its connection by itself.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const POLL_MS = 100;
/** A crowd that has sent nothing for so long has sent all that is read of it. */
const DEFAULT_SETTLED_MS = 1_000;
const MAX_SETTLE_MS = 60_000;
/** Before the status of each answer; the bodies of answers don't contain it. */
const STATUS = /HTTP\/1\.1 (\d{3}) /g;
const STATUS_LENGTH = 'HTTP/1.1 200 '.length;

export interface CrowdPlan {
  readonly connections: number;
  readonly head: (index: number) => string;
  readonly part: Buffer;
  /** How often each client sends the part; what follows never comes. */
  readonly parts: number;
  /** Requests in each client's head, whose ids are numbered; by default one without a number. */
  readonly requests?: number;
  /** Pause after each part; by default as fast as the connection takes it. */
  readonly pauseMs?: number;
  /** Whether its answers are not read. */
  readonly isDeaf?: boolean;
  /** How often each client connects again at once when its connection has ended. */
  readonly returns?: number;
  /** How long nothing is sent or received once it is settled. */
  readonly settledMs?: number;
}

export class Crowd {
  readonly #sockets: Socket[] = [];

  readonly #statuses: number[][] = [];

  #sent = 0;

  #received = 0;

  #isClosed = false;

  readonly #settledMs: number;

  private constructor({ settledMs = DEFAULT_SETTLED_MS }: CrowdPlan) {
    this.#settledMs = settledMs;
  }

  static start(host: string, port: number, plan: CrowdPlan): Crowd {
    const crowd = new Crowd(plan);
    Array.from({ length: plan.connections }, (_, index) => crowd.#add(host, port, plan, index));
    return crowd;
  }

  /** The statuses of each member's answers, in their order; none that was not answered. */
  get statuses(): readonly (readonly number[])[] {
    return this.#statuses;
  }

  /** How many answers had each status, and how many members got none (0). */
  get counts(): string {
    const all = this.#statuses.flatMap((statuses) => (statuses.length > 0 ? statuses : [0]));
    return [...new Set(all)].sort((a, b) => a - b).map((status) => (
      `${status}: ${all.filter((other) => other === status).length}`)).join(', ');
  }

  /** Resolves once nothing more is sent or received. */
  async untilSettled(): Promise<void> {
    const deadline = performance.now() + MAX_SETTLE_MS;
    let seen = -1;
    let unchangedMs = 0;
    while (unchangedMs < this.#settledMs && performance.now() < deadline) {
      unchangedMs = seen === this.#sent + this.#received ? unchangedMs + POLL_MS : 0;
      seen = this.#sent + this.#received;
      // eslint-disable-next-line no-await-in-loop -- one poll after another
      await sleep(POLL_MS);
    }
  }

  close(): void {
    this.#isClosed = true;
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #add(host: string, port: number, plan: CrowdPlan, index: number): void {
    this.#statuses.push([]);
    this.#connect(host, port, plan, index, plan.returns ?? 0);
  }

  #connect(host: string, port: number, plan: CrowdPlan, index: number, returns: number): void {
    const {
      head, part, parts, pauseMs, isDeaf = false,
    } = plan;
    // A client that has sent all or was told to close keeps its side open, unless it comes again.
    const socket = connect({ host, port, allowHalfOpen: returns === 0 });
    this.#sockets.push(socket);
    let left = parts;
    const send = () => {
      while (left > 0 && socket.writable) {
        left -= 1;
        this.#sent += part.length;
        const goesOn = socket.write(part);
        if (pauseMs !== undefined) {
          setTimeout(send, pauseMs);
          return;
        }
        if (!goesOn) return;
      }
    };
    socket.once('connect', () => {
      socket.write(head(index));
      send();
    });
    if (pauseMs === undefined) socket.on('drain', send);
    if (!isDeaf) this.#read(socket, index);
    socket.on('error', () => undefined);
    if (returns > 0) {
      socket.once('close', () => {
        if (!this.#isClosed) this.#connect(host, port, plan, index, returns - 1);
      });
    }
  }

  #read(socket: Socket, index: number): void {
    let rest = '';
    socket.on('data', (bytes) => {
      this.#received += bytes.length;
      const text = rest + bytes.toString('latin1');
      let end = 0;
      [...text.matchAll(STATUS)].forEach(({ 0: found, 1: status, index: at }) => {
        end = at + found.length;
        this.#statuses[index]!.push(Number(status));
      });
      rest = text.slice(Math.max(end, text.length - STATUS_LENGTH + 1));
    });
  }
}
