/** What callers get if no server continues a stream, or one answers a request with a failure. */
import test from 'ava';
import { eventsText } from './fakes/relay.js';
import { notRun } from './fakes/scriptedengines.js';
import {
  ANSWERS, BREAK, HELD, KINDS, MAX_ATTEMPTS, request, startSite, TEXT_OF_ANSWERS,
} from './fakes/streamanswers.js';

ANSWERS.forEach(({ name: answer, respond, passed }) => {
  const kinds = KINDS.filter(({ hasBegun }) => hasBegun || passed === undefined);
  test.serial(`${answer}: no part of it reaches a caller if all servers answer so`, async (t) => {
    const scripts = Object.fromEntries(kinds.map(({ id, before }) => (
      [id, [...before, ...Array.from({ length: MAX_ATTEMPTS }, () => respond)]])));
    const { relay } = await startSite(t, scripts);
    t.true((await request(relay, 'r0')).whole);
    await Promise.all(kinds.map(async ({
      name, id, before, last,
    }) => {
      const reply = await request(relay, id, last);
      t.notRegex(reply.head + reply.rest, TEXT_OF_ANSWERS, name);
      if (before.includes(BREAK)) {
        t.like(reply, { status: 200, body: eventsText(HELD), whole: false }, name);
      } else t.true(reply.status >= 500, name);
    }));
  });
});

ANSWERS.forEach(({ name, respond, passed }) => {
  if (!passed) return;
  test.serial(`${name}: a caller that has nothing of the stream gets it as it is`, async (t) => {
    const { relay, attemptsOf } = await startSite(t, { new: [respond], late: [notRun, respond] });
    await Promise.all(['new', 'late'].map(async (id) => {
      const reply = await request(relay, id);
      t.like(reply, { ...passed, whole: true });
      t.is(/^x-signature: (\S+)$/im.exec(reply.head)?.[1], attemptsOf(id).at(-1)!.engine);
    }));
    t.is(attemptsOf('new').length, 1);
  });
});
