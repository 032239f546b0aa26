/**
 * Close-delimited responses, which have no length and end with their connection: of servers, and
 * to callers of HTTP/1.0, who read no chunks. When a reset arrives together with the last bytes,
 * Node reports an orderly end and no error. The socket's remote address tells them apart: it is
 * undefined after a reset, but not after an orderly end.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Whether the response's head determines where it ends. */
export function isSelfDelimited(
  { statusCode = 0, headers }: IncomingMessage,
  method: string,
): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
    || method === 'HEAD' || statusCode === NO_CONTENT || statusCode === NOT_MODIFIED;
}

/**
 * Watches the connection of a close-delimited response; must be called before any of it is read.
 * Once the response has ended, the returned function gives the error that truncated it, if any.
 */
export function watchCloseDelimited({ socket }: IncomingMessage): () => string | undefined {
  let failure: string | undefined;
  socket.on('error', (error: Error) => {
    failure = error.message;
  });
  socket.prependOnceListener('end', () => {
    if (socket.remoteAddress === undefined) failure ??= 'the connection was reset';
  });
  return () => failure;
}

/** Breaks a response off that has begun, so that it can't be taken for a complete one. */
export function breakOff(res: ServerResponse): void {
  const { socket } = res;
  // Without chunks, an orderly end of the connection may be that of the response.
  if (socket && !socket.destroyed && !res.chunkedEncoding) socket.resetAndDestroy();
  else res.destroy();
}
