/** Stand-ins of clients, each attempt on a connection of its own. */
import { Buffer } from 'node:buffer';
import { request as httpRequest } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { KEY } from './case.mjs';

let count = 0;

export function newId(prefix = 'r') {
  count += 1;
  return `${prefix}${String(count).padStart(6, '0')}`;
}

/**
 * Sends one request and resolves to what came: `status` (0 without a head), `headers`, `body`,
 * whether it came whole (`whole`), `error` and how long it took (`ms`).
 *
 * @param onText told of each part of the body
 */
export function send({
  host, port, path, method = 'POST', headers = {}, body = '', id = newId(), deadlineMs = 25_000,
}, onText = () => undefined) {
  return new Promise((resolve) => {
    const startedAt = performance.now();
    let status = 0;
    let received = {};
    let text = '';
    let isSettled = false;
    const settle = (whole, error) => {
      if (isSettled) return;
      isSettled = true;
      resolve({
        id, status, headers: received, body: text, whole, error, ms: performance.now() - startedAt,
      });
    };
    const request = httpRequest({
      host,
      port,
      path,
      method,
      agent: false,
      headers: {
        Host: 'review.example',
        'Request-Id': id,
        'Deadline-Ms': String(deadlineMs),
        Credential: KEY,
        'Content-Length': String(Buffer.byteLength(body)),
        ...headers,
      },
    }, (res) => {
      status = res.statusCode;
      received = res.headers;
      res.setEncoding('utf8');
      res.on('data', (part) => {
        text += part;
        onText(part);
      });
      res.on('end', () => settle(res.complete, undefined));
      res.on('error', (error) => settle(false, error.message));
      res.on('aborted', () => settle(false, 'cut off'));
    });
    request.on('error', (error) => settle(false, error.message));
    const timer = setTimeout(() => {
      settle(false, 'the deadline has passed');
      request.destroy();
    }, deadlineMs);
    request.on('close', () => clearTimeout(timer));
    request.end(body);
  });
}

/** The events of a body: their ids and data. */
export function eventsOf(body) {
  return body.split('\n\n').flatMap((event) => {
    const id = /^id: (\d+)$/m.exec(event)?.[1];
    const data = /^data: (.*)$/m.exec(event)?.[1];
    return id === undefined || data === undefined ? [] : [{ id: Number(id), ...JSON.parse(data) }];
  });
}
