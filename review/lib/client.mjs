// A client's request, on a new connection or on one of an agent's. An answer counts as whole if its
// body is complete.
import { Buffer } from 'node:buffer';
import { request as httpRequest } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { newId, now } from './base.mjs';

export const HOST = 'ficu95.example';

/**
 * @param options `path`, `method`, `headers`, `body`, `key`, `deadlineMs`, `agent`, `id`
 * @returns { id, status, headers, body, whole, error, sentAt, endedAt }
 */
export function send(relay, {
  path, method = 'POST', headers = {}, body = '', key = 'key-1', deadlineMs = 600, agent = false,
  id = newId(), signal,
}) {
  return new Promise((resolve) => {
    const sentAt = now();
    const result = {
      id, status: 0, headers: {}, body: '', whole: false, error: undefined, sentAt, endedAt: 0,
    };
    let timer;
    const finish = (fields) => {
      clearTimeout(timer);
      if (result.endedAt === 0) resolve(Object.assign(result, fields, { endedAt: now() }));
    };
    const request = httpRequest({
      host: relay.ip,
      port: relay.ports.front,
      method,
      path,
      agent,
      signal,
      headers: {
        Host: HOST,
        'Request-Id': id,
        'Deadline-Ms': String(deadlineMs),
        ...key === undefined ? {} : { Credential: key },
        ...method === 'GET' ? {} : { 'Content-Length': String(Buffer.byteLength(body)) },
        ...headers,
      },
    });
    timer = setTimeout(() => {
      finish({ error: 'the client gave up at its deadline' });
      request.destroy();
    }, deadlineMs + 200);
    request.on('error', (error) => finish({ error: error.code ?? error.message }));
    request.on('response', (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      response.setEncoding('latin1');
      response.on('data', (text) => {
        result.body += text;
      });
      response.on('end', () => finish({ whole: response.complete }));
      response.on('error', (error) => finish({ error: error.code ?? error.message }));
    });
    request.end(body);
  });
}

/** Headers of a request to a model engine. */
export function promptHeaders(parts, outputTokens = 300) {
  const tokens = parts.reduce((sum, [, count]) => sum + count, 0);
  return {
    Model: 'm',
    'Token-Counts': `${tokens},${outputTokens}`,
    'Prompt-Prefix': parts.map(([name, count]) => `${name}:${count}`).join(','),
  };
}
