/** What a server may answer when a stream begins, and when another server's stream broke off. */
import test from 'ava';
import type { RawReply } from './fakes/rawcaller.js';
import { eventsText } from './fakes/relay.js';
import { breakAfter, EVENTS } from './fakes/scriptedengines.js';
import type { Respond } from './fakes/scriptedengines.js';
import {
  ANSWERS, BREAK, EMPTY_ENDS, HELD, inChunks, KINDS, request, startSite,
} from './fakes/streamanswers.js';

[...ANSWERS, ...EMPTY_ENDS].forEach(({ name: answer, respond, passed }) => {
  const kinds = KINDS.filter(({ hasBegun }) => hasBegun || passed === undefined);
  test.serial(`${answer}: a failed attempt, after which a sound server goes on`, async (t) => {
    const scripts = Object.fromEntries(kinds.map(({ id, before }) => [id, [...before, respond]]));
    const { relay, attemptsOf } = await startSite(t, scripts);
    // The stream that is taken up.
    t.true((await request(relay, 'r0')).whole);
    await Promise.all(kinds.map(async ({
      name, id, before, last = 0, fromCopy = false,
    }) => {
      const reply = await request(relay, id, last === 0 ? undefined : last);
      t.like(reply, { status: 200, whole: true, body: eventsText(EVENTS, last + 1) }, name);
      t.notRegex(reply.head, /content-(length|encoding)|json/i, name);
      t.is(attemptsOf(id).length, before.length + 2, name);
      t.is(attemptsOf(id).at(before.length)!.fromCopy, fromCopy, name);
    }));
  });
});

interface EmptyEnd {
  readonly name: string;
  readonly script: readonly Respond[];
  readonly last?: number;
  readonly count?: number;
  readonly reply: Partial<RawReply>;
}

const EMPTY = inChunks('200 OK', '');
const WHOLE_TEXT = eventsText(EVENTS);
const ENDED: readonly EmptyEnd[] = [
  {
    name: 'a stream that broke off after its last event is complete if two servers end it there',
    script: [breakAfter(WHOLE_TEXT), EMPTY, EMPTY],
    reply: { status: 200, body: WHOLE_TEXT, whole: true },
  },
  {
    name: 'a stream that one server ended without an event is broken off if no other can tell',
    script: [breakAfter(WHOLE_TEXT), EMPTY],
    count: 2,
    reply: { status: 200, body: WHOLE_TEXT, whole: false },
  },
  {
    name: 'ends without an event at two positions do not agree',
    script: [BREAK, EMPTY, breakAfter(eventsText(HELD + 2, HELD + 1)), EMPTY],
    count: 4,
    reply: { status: 200, body: WHOLE_TEXT, whole: true },
  },
  {
    name: 'a caller that lacks only the end gets it if two servers end the stream there',
    script: [EMPTY, EMPTY],
    last: EVENTS,
    reply: { status: 200, body: '', whole: true },
  },
  {
    name: 'a new stream has no events if two servers say so',
    script: [EMPTY, EMPTY],
    reply: { status: 200, body: '', whole: true },
  },
];
ENDED.forEach(({
  name, script, last, count, reply,
}) => {
  test.serial(name, async (t) => {
    const { relay, attemptsOf } = await startSite(t, { r1: script }, count);
    t.true((await request(relay, 'r0')).whole);
    t.like(await request(relay, 'r1', last), reply);
    t.true(attemptsOf('r1').length >= script.length);
  });
});
