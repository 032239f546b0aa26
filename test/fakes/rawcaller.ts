/** A caller that sends one request and keeps the raw bytes of what it gets. */
import { connect } from 'node:net';

export interface RawReply {
  /** Status, or 0 without a response. */
  readonly status: number;
  readonly head: string;
  /** All bytes after the head, with their chunks' sizes. */
  readonly rest: string;
  /** The body without the framing of its chunks. */
  readonly body: string;
  /** Whether the response looks complete. */
  readonly whole: boolean;
  /** Whether the connection was reset. */
  readonly reset: boolean;
}

const HEAD_END = '\r\n\r\n';

/** Removes the framing of a body in chunks; bytes of a chunk that was cut off are kept. */
function unchunk(text: string): { readonly body: string; readonly whole: boolean } {
  let body = '';
  let rest = text;
  for (;;) {
    const match = /^([0-9a-f]+)\r\n/i.exec(rest);
    if (!match) return { body: body + rest, whole: false };
    const size = parseInt(match[1]!, 16);
    rest = rest.slice(match[0].length);
    if (size === 0) return { body, whole: rest === '\r\n' };
    body += rest.slice(0, size);
    if (rest.length < size + 2) return { body, whole: false };
    rest = rest.slice(size + 2);
  }
}

function read(text: string, reset: boolean): RawReply {
  const end = text.indexOf(HEAD_END);
  const head = end < 0 ? text : text.slice(0, end);
  const rest = end < 0 ? '' : text.slice(end + HEAD_END.length);
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1] ?? 0);
  const length = /^content-length: (\d+)$/im.exec(head)?.[1];
  if (/^transfer-encoding: chunked$/im.test(head)) {
    return {
      status, head, rest, reset, ...unchunk(rest),
    };
  }
  const whole = length === undefined ? end >= 0 && !reset : rest.length === Number(length);
  return {
    status, head, rest, body: rest, whole, reset,
  };
}

/** Resolves once the connection has closed; text is decoded as Latin-1. */
export function callRaw(
  endpoint: { readonly ip: string; readonly callersPort: number },
  lines: readonly string[],
  body = '',
): Promise<RawReply> {
  return new Promise((resolve) => {
    let text = '';
    let reset = false;
    const socket = connect(endpoint.callersPort, endpoint.ip);
    socket.setEncoding('latin1');
    socket.on('data', (part: string) => {
      text += part;
    });
    socket.on('error', () => {
      reset = true;
    });
    socket.on('close', () => resolve(read(text, reset)));
    const length = body === '' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`];
    socket.write([...lines, ...length, 'Connection: close', '', body].join('\r\n'));
  });
}
