/**
 * Engines that respond to streams by scripts, with one entry for each attempt, and soundly once
 * a script has ended. They write to their sockets themselves, so that they can break the protocol.
 */
import type { Socket } from 'node:net';
import { eventsText } from './relay.js';
import type { RelayEngineOptions } from './relayengine.js';

/** Length of the streams. */
export const EVENTS = 8;

/** One attempt of a stream, as its engine receives it. */
export interface Attempt {
  readonly engine: string;
  readonly id: string;
  /** The last event that it is told; undefined if it is told none. */
  readonly last: number | undefined;
  readonly fromCopy: boolean;
}

export type Respond = (socket: Socket, attempt: Attempt) => void;

export function head(
  { id, engine }: Attempt,
  status: string,
  headers: readonly string[] = [],
): string {
  const lines = [`HTTP/1.1 ${status}`, `x-id: ${id}`, `x-signature: ${engine}`, ...headers];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

/** A chunk of a body, by its length in bytes. */
export function chunk(text: string): string {
  return text === '' ? '' : `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

export const STREAM_HEADERS: readonly string[] = [
  'Content-Type: text/event-stream', 'Transfer-Encoding: chunked',
];
export const LAST_CHUNK = '0\r\n\r\n';

/** Sends the events that are left, and ends the stream. */
export const sound: Respond = (socket, attempt) => {
  const text = eventsText(EVENTS, (attempt.last ?? 0) + 1);
  socket.write(`${head(attempt, '200 OK', STREAM_HEADERS)}${chunk(text)}${LAST_CHUNK}`);
};

/** Says that the request was not run. */
export const notRun: Respond = (socket, attempt) => {
  const headers = ['x-not-run: 1', 'Content-Length: 0'];
  socket.write(head(attempt, '503 Service Unavailable', headers));
};

/** Sends some bytes of a stream in a chunk, then closes the connection. */
export function breakAfter(text: string): Respond {
  return (socket, attempt) => {
    socket.end(`${head(attempt, '200 OK', STREAM_HEADERS)}${chunk(text)}`);
  };
}

/** What each request gets, by its id: one entry for each of its attempts. */
export type Scripts = Readonly<Record<string, readonly Respond[]>>;

export interface ScriptedFleet {
  readonly engines: readonly RelayEngineOptions[];
  /** The attempts of a request so far. */
  readonly attemptsOf: (id: string) => readonly Attempt[];
}

export function scriptedEngines(scripts: Scripts, count = 4): ScriptedFleet {
  const attempts: Attempt[] = [];
  const attemptsOf = (id: string) => attempts.filter((attempt) => attempt.id === id);
  const engines = Array.from({ length: count }, (_, index): RelayEngineOptions => ({
    id: `e${index}`,
    zone: 'ab'[index % 2]!,
    respond: (req, _res, { options: { id: engine } }) => {
      if (!req.url?.startsWith('/stream')) return false;
      const last = req.headers['x-last'];
      const id = String(req.headers['x-id']);
      const attempt: Attempt = {
        engine,
        id,
        last: last === undefined ? undefined : Number(last),
        fromCopy: req.headers['x-from'] !== undefined,
      };
      const respond = scripts[id]?.[attemptsOf(id).length] ?? sound;
      attempts.push(attempt);
      respond(req.socket, attempt);
      return true;
    },
  }));
  return { engines, attemptsOf };
}
