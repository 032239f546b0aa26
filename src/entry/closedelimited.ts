/**
 * Answers without a length, which end with their connection. When the last bytes and a reset arrive
 * together the runtime reports an orderly end and no error; a connection that was reset no longer
 * has a peer, which one that the peer closed in order still has.
 */
import type { IncomingMessage } from 'node:http';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Whether the answer's own head tells where it ends. */
export function isSelfDelimited(
  { statusCode = 0, headers }: IncomingMessage,
  method: string,
): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
    || method === 'HEAD' || statusCode === NO_CONTENT || statusCode === NOT_MODIFIED;
}

/**
 * Watches the connection of an answer that ends with it; has to be called before any of the answer
 * is read. The returned function tells, once the answer has ended, why it isn't whole.
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
