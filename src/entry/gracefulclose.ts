/**
 * Closes callers' connections so that they can read what was sent. A connection that is closed
 * with unread input is reset, and a reset discards what the other side has not read yet. So the
 * server ends its direction first, and discards input until the caller closes as well.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** How long a caller may leave a connection open that the server has ended. */
const LINGER_MS = 5_000;

/** Replaces the function by which Node closes a connection after its last response. */
export function closeGracefully(socket: Socket): void {
  Object.assign(socket, {
    destroySoon: () => {
      if (socket.writableEnded || socket.destroyed) return;
      socket.end(() => {
        const deadline = setTimeout(() => socket.destroy(), LINGER_MS);
        socket.once('close', () => clearTimeout(deadline));
      });
      socket.resume();
    },
  });
}

/** Calls `listener` once the response is closed, and its connection if that is being closed. */
export function whenReleased(res: ServerResponse, listener: () => void): void {
  const { socket } = res.req;
  res.once('close', () => {
    if (socket.writableEnded && !socket.destroyed) socket.once('close', listener);
    else listener();
  });
}
