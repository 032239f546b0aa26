import test from 'ava';
import { verifyCursor, signCursor } from '../src/generation/cursor.js';
import type { Attempt } from '../src/generation/state.js';
import { deployment, requestOf, isCompleteAnswer } from './fakes/deployment.js';

const REQUEST = requestOf();
const ATTEMPT: Attempt = {
  number: 2, server: 'e1', version: '1', from: 0, kind: 'begin', incarnation: undefined,
};
const signed = signCursor(REQUEST, ATTEMPT, 'key');

test('a cursor identifies its attempt to the same request', (t) => {
  t.like(verifyCursor(signed, { ...REQUEST, id: 'other' }, 'key').unwrapOr(undefined), {
    generation: 'g', server: 'e1', attempt: 2, version: '1', seed: 1,
  });
});

const INVALID: readonly [string, string, Partial<typeof REQUEST>, string | undefined][] = [
  ['of another deployment', signed, {}, 'other'],
  ['of a deployment without a key', signed, {}, undefined],
  ['that was changed', `x${signed}`, {}, 'key'],
  ['without its signature', signed.split('.')[0]!, {}, 'key'],
  ['of another workspace', signed, { workspace: 'v' }, 'key'],
  ['of another prompt', signed, { input: { kind: 'prompt', text: 'other' } }, 'key'],
];

INVALID.forEach(([title, text, change, key]) => {
  test(`a cursor ${title} is refused`, (t) => {
    const opened = verifyCursor(text, { ...REQUEST, ...change }, key);
    t.like(opened.match(() => undefined, (refusal) => refusal), {
      code: 'bad_request', ran: 'no',
    });
  });
});

/** Streams part of an answer through one instance, which is then ignored as if it had died. */
async function streamHalf() {
  const own = deployment();
  const cursors: string[] = [];
  await own.clock.advance(50);
  const first = own.call(REQUEST, own.gateway.generate(REQUEST, {
    onCursor: (cursor) => cursors.push(cursor),
  }));
  await own.clock.advance(40);
  const tokens = first.events.length;
  const text = first.text();
  const returnWith = (given: string | undefined) => own.call(REQUEST, own.gateway.generate(
    requestOf({ id: 'second', sampling: { ...REQUEST.sampling, seed: 99 } }),
    { returning: { cursor: cursors[0]!, tokens, text: given } },
  ));
  return {
    ...own, tokens, text, returnWith,
  };
}

test('a returning caller is joined to the running stream', async (t) => {
  const {
    clock, tokens, text, returnWith, engines,
  } = await streamHalf();
  const caller = returnWith(undefined);
  await clock.advance(500);
  t.like(caller.events[0], { position: tokens });
  t.true(isCompleteAnswer(REQUEST, text + caller.text()));
  t.is([...engines.values()].flatMap(({ started }) => started).length, 1);
});

test('a returning caller whose engine is gone resumes from the text that it has', async (t) => {
  const {
    clock, text, returnWith, busy, call,
  } = await streamHalf();
  // The first instance counts as dead, so its own resume is not checked.
  t.truthy(call);
  busy().crash('next');
  const caller = returnWith(text);
  await clock.advance(500);
  t.is(caller.end()?.kind, 'finish');
  t.true(isCompleteAnswer(REQUEST, text + caller.text()));
});

test('a returning caller whose engine is gone and who has no text is refused', async (t) => {
  const { clock, returnWith, busy } = await streamHalf();
  busy().crash('next');
  const caller = returnWith(undefined);
  await clock.advance(500);
  t.like(caller.end(), { kind: 'refusal', refusal: { ran: 'partly' } });
});

test('a returning caller is never told that its request was not run', async (t) => {
  const { gateway, call } = deployment();
  const refused = (tokens: number) => call(REQUEST, gateway.generate(REQUEST, {
    returning: { cursor: 'bad', tokens, text: undefined },
  })).end();
  t.like(refused(3), { kind: 'refusal', refusal: { ran: 'partly' } });
  t.like(refused(0), { kind: 'refusal', refusal: { ran: 'unknown' } });
});
