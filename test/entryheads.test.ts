/** Heads of a plain service's responses that can't be written again. */
import test from 'ava';
import { call, startEntry } from './fakes/entry.js';

const SPOILED: Readonly<Record<string, string>> = {
  'a space in a name': 'HTTP/1.1 200 OK\r\nX Name: 1\r\nContent-Length: 2\r\n\r\nok',
  'an empty name': 'HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\nok',
  'two types': 'HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Type: c/d\r\n'
    + 'Content-Length: 2\r\n\r\nok',
};

Object.entries(SPOILED).forEach(([name, bytes]) => {
  test(`a service's head with ${name} is no answer, and no caller waits for one`, async (t) => {
    const own = await startEntry({
      engines: 1,
      services: [
        (req) => req.socket.end(bytes, 'latin1'),
        (_, res) => res.end('sound'),
      ],
    });
    t.teardown(() => own.stop());
    const written = await call(own.address, '/services/stock/reserve', {
      method: 'POST', body: '{}',
    });
    t.is(written.status, 502);
    t.like(JSON.parse(written.text), { error: { ran: 'unknown' } });
    const read = await call(own.address, '/services/stock/price');
    t.is(read.text, 'sound');
  });
});
