/**
 * Reads past a response on a kept connection that belongs to another request, as a faulty server
 * writes one, to the response that follows it. Node takes the first response on a connection for
 * that of the request and then gives the connection back, so this takes it out of its pool and
 * reads on with a second request of which nothing is ever written.
 */
import { request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { isSelfDelimited } from '../entry/closedelimited.js';

/** Whether another response can follow on the connection, and none has been read past before. */
export function canReadPast(
  request: ClientRequest,
  response: IncomingMessage,
): boolean {
  // Otherwise Node closes the connection at the response's end; what reads on is never finished.
  return request.shouldKeepAlive && request.writableFinished
    && isSelfDelimited(response, request.method);
}

/**
 * Discards a response; its connection belongs to the caller from then on. Calls `onPast` with what
 * reads the next response, at the end of this one, or `onFail` if the connection breaks before.
 */
export function readPast(
  request: ClientRequest,
  response: IncomingMessage,
  onPast: (reader: ClientRequest) => void,
  onFail: (message: string) => void,
): void {
  const { socket } = response;
  socket.emit('agentRemove');
  response.once('error', (error) => onFail(error.message));
  response.once('end', () => {
    if (socket.destroyed) onFail('the connection closed after a response to another request');
    else onPast(httpRequest({ method: request.method, createConnection: () => socket }));
  });
  response.resume();
}
