/** What faulty servers send without end, until the connection is closed. */
import type { Socket } from 'node:net';

interface Flood {
  /** What comes once, for a request with an id. */
  readonly head: (id: string) => string;
  /** What comes again and again. */
  readonly part: string;
}

const PART = 'x'.repeat(16_384);

function signedHead(status: string, ...lines: readonly string[]) {
  return (id: string) => [
    `HTTP/1.1 ${status}`, `Request-Id: ${id}`, `Response-Signature: s.${id}`, ...lines, '', '',
  ].join('\r\n');
}

const CHUNKED = 'Transfer-Encoding: chunked';
const EVENTS = 'Content-Type: text/event-stream';

export const FLOODS: Readonly<Record<string, Flood>> = {
  'a header line': { head: () => 'HTTP/1.1 200 OK\r\nX-Long: ', part: PART },
  'header lines': { head: () => 'HTTP/1.1 200 OK\r\n', part: 'X-More: 1\r\n'.repeat(1_000) },
  'no head': { head: () => '', part: PART },
  'interim heads': { head: () => '', part: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500) },
  'a body until it closes': { head: signedHead('200 OK'), part: PART },
  'large chunks': { head: signedHead('200 OK', CHUNKED), part: `4000\r\n${PART}\r\n` },
  'chunks of one byte': {
    head: signedHead('200 OK', CHUNKED), part: '1\r\nx\r\n'.repeat(2_000),
  },
  'a long body': { head: signedHead('200 OK', 'Content-Length: 1000000000000'), part: PART },
  'the body of a failure': { head: signedHead('500 Failed'), part: PART },
  'the body of a refusal': { head: signedHead('503 Busy', 'Not-Executed: 1'), part: PART },
  trailers: {
    head: (id) => `${signedHead('200 OK', CHUNKED)(id)}0\r\n`, part: 'X-More: 1\r\n'.repeat(1_000),
  },
  'an event': { head: (id) => `${signedHead('200 OK', EVENTS)(id)}data: `, part: PART },
  comments: { head: signedHead('200 OK', EVENTS), part: ': kept open\n\n'.repeat(1_000) },
};

/** Sends a flood for as long as the connection lasts. */
export function sendFlood(socket: Socket, name: string, id: string): void {
  const { head, part } = FLOODS[name]!;
  const bytes = Buffer.from(part, 'latin1');
  const write = () => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on('error', () => undefined);
  socket.on('drain', write);
  socket.write(head(id));
  write();
}
