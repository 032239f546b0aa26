/**
 * Closes callers' connections so that they can read what was sent. A connection that is closed
 * with unread input is reset, and a reset discards what the other side has not read yet. So the
 * server ends its direction first, and discards input until the caller closes as well.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { countGarbage } from '../memory/garbage.js';

/** How long a caller may leave a connection open that the server has ended. */
const LINGER_MS = 5_000;
/** Connections with input after their end; each may have some that has arrived unread. */
const MAX_LINGERING = 32;

/** What is read at once is followed by a pause, so that a caller that goes on sending is slowed. */
const DISCARD_PAUSE_MS = 100;

/** Discards input, a part in a while, without parsing it. */
export function discardSlowly(socket: Socket): void {
  // A listener of this kind also takes the connection from Node's parser.
  socket.removeAllListeners('data');
  let resumed: NodeJS.Timeout | undefined;
  socket.on('data', (bytes) => {
    countGarbage(bytes.length);
    socket.pause();
    resumed = setTimeout(() => socket.resume(), DISCARD_PAUSE_MS);
  });
  socket.once('close', () => clearTimeout(resumed));
  socket.resume();
}

/** The connections that a server has ended and on which input still comes. */
export class Lingering {
  /** In the order in which input came after their end. */
  readonly #sockets = new Set<Socket>();

  static of(): Lingering {
    return new Lingering();
  }

  /** Replaces the function by which Node closes a connection after its last response. */
  closeGracefully(socket: Socket): void {
    Object.assign(socket, {
      destroySoon: () => {
        if (socket.writableEnded || socket.destroyed) return;
        socket.end(() => {
          const deadline = setTimeout(() => socket.destroy(), LINGER_MS);
          socket.once('close', () => clearTimeout(deadline));
          socket.once('data', () => this.#add(socket));
        });
        discardSlowly(socket);
      },
    });
  }

  #add(socket: Socket): void {
    this.#sockets.add(socket);
    socket.once('close', () => this.#sockets.delete(socket));
    if (this.#sockets.size <= MAX_LINGERING) return;
    const [oldest] = this.#sockets;
    oldest?.destroy();
  }
}

/** Calls `listener` once the response is closed, and its connection if that is being closed. */
export function whenReleased(res: ServerResponse, listener: () => void): void {
  const { socket } = res.req;
  res.once('close', () => {
    if (socket.writableEnded && !socket.destroyed) socket.once('close', listener);
    else listener();
  });
}
