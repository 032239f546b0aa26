import test from 'ava';
import {
  NEVER, Observable, concat, filter, merge, of,
} from 'rxjs';
import type { Configuration } from '../src/configuration/configuration.js';
import type { EngineClient, EngineEvent } from '../src/engines/engine.js';
import type { StandInEngine } from '../src/standin/engine.js';
import {
  deployment, longestPause, requestOf, isCompleteAnswer,
} from './fakes/deployment.js';

/** The client of a stand-in engine with some methods replaced. */
function withOverrides(engine: StandInEngine, overrides: Partial<EngineClient>): EngineClient {
  return {
    generate: (request) => engine.generate(request),
    join: (generation, attempt, position) => engine.join(generation, attempt, position),
    cancel: (generation, attempt) => engine.cancel(generation, attempt),
    load: () => engine.load(),
    cacheEvents: () => engine.cacheEvents(),
    order: (order) => engine.order(order),
    ...overrides,
  };
}

const REQUEST = requestOf();

test('an answer resumes after its engine dies, with every token exactly once', async (t) => {
  const { clock, call, busy } = deployment();
  await clock.advance(50);
  const caller = call(REQUEST);
  await clock.advance(40);
  busy().crash('next');
  await clock.advance(500);
  t.is(caller.end()?.kind, 'finish');
  t.true(isCompleteAnswer(REQUEST, caller.text()));
  t.true(longestPause(caller) < 20);
});

test('an open answer on a leaving engine completes on that engine', async (t) => {
  const {
    clock, call, engines, busy,
  } = deployment();
  await clock.advance(50);
  const caller = call(REQUEST);
  await clock.advance(40);
  busy().stopAccepting();
  await clock.advance(2_000);
  t.is(caller.end()?.kind, 'finish');
  t.true(isCompleteAnswer(REQUEST, caller.text()));
  t.is([...engines.values()].flatMap(({ started }) => started).length, 1);
});

const RELOADS: readonly [string, (before: Configuration) => Partial<Configuration>][] = [
  ['its workspace', () => ({ workspaces: {} })],
  ['its model', () => ({ models: {} })],
  ['its engine', () => ({ servers: {} })],
  ['the favour', ({ deployment: named }) => ({
    deployment: { ...named, favour: 'resources' },
  })],
];

RELOADS.forEach(([what, change]) => {
  test(`an open answer completes when a reload removes or changes ${what}`, async (t) => {
    const { clock, call, configurations } = deployment();
    await clock.advance(50);
    const caller = call(REQUEST);
    await clock.advance(40);
    const before = configurations.value;
    configurations.next({ ...before, ...change(before), revision: before.revision + 1 });
    await clock.advance(2_000);
    t.is(caller.end()?.kind, 'finish');
    t.true(isCompleteAnswer(REQUEST, caller.text()));
  });
});

['latency' as const, 'resources' as const].forEach((favour) => {
  test(`${favour}: an answer resumes when its engine freezes and later wakes`, async (t) => {
    const {
      clock, call, busy, engines,
    } = deployment({ favour });
    // A frozen process does not answer any call.
    const frozen = new Set<StandInEngine>();
    engines.forEach((engine) => {
      const load = engine.load.bind(engine);
      Object.assign(engine, {
        load: (deadlineMs: number) => (frozen.has(engine)
          ? new Promise((_, reject) => {
            clock.schedule(() => reject(new Error('deadline')), deadlineMs);
          })
          : load()),
      });
    });
    await clock.advance(50);
    const caller = call(REQUEST);
    await clock.advance(40);
    const engine = busy();
    frozen.add(engine);
    engine.pause();
    await clock.advance(700);
    frozen.delete(engine);
    engine.resume();
    await clock.advance(500);
    t.is(caller.end()?.kind, 'finish');
    t.true(isCompleteAnswer(REQUEST, caller.text()));
    t.true(longestPause(caller) < (favour === 'latency' ? 100 : 600), `${longestPause(caller)}`);
    // The attempt on the frozen engine is cancelled once it wakes.
    t.is((await engine.load()).running, 0);
  });
});

test('resources: an engine pause under 100 ms causes no other attempt', async (t) => {
  const {
    clock, call, busy, engines,
  } = deployment({ favour: 'resources' });
  await clock.advance(50);
  const caller = call(REQUEST);
  await clock.advance(40);
  busy().pause();
  await clock.advance(95);
  busy().resume();
  await clock.advance(500);
  t.true(isCompleteAnswer(REQUEST, caller.text()));
  t.is([...engines.values()].flatMap(({ started }) => started).length, 1);
});

test('an answer comes from another engine if the first accepts and sends no token', async (t) => {
  const { clock, call } = deployment({
    wrap: (engine) => withOverrides(engine, engine.options.name === 'e1'
      ? { generate: () => concat(of({ kind: 'opened' as const, incarnation: 'e1/1' }), NEVER) }
      : {}),
  });
  await clock.advance(50);
  const caller = call(REQUEST);
  await clock.advance(1_500);
  t.true(isCompleteAnswer(REQUEST, caller.text()));
  t.true(caller.times[0]! < 600, `${caller.times[0]}`);
});

test('an answer resumes if its engine answers pings but sends no more tokens', async (t) => {
  const { clock, call, busy } = deployment({ favour: 'resources' });
  await clock.advance(50);
  const caller = call(REQUEST);
  await clock.advance(40);
  busy().pause();
  await clock.advance(9_000);
  t.true(isCompleteAnswer(REQUEST, caller.text()));
});

const broken: readonly [string, (events: Observable<EngineEvent>) => Observable<EngineEvent>][] = [
  ['repeats tokens', (events) => new Observable((subscriber) => events.subscribe((event) => {
    subscriber.next(event);
    subscriber.next(event);
  }))],
  ['skips a token', (events) => events.pipe(
    filter((event) => event.kind !== 'token' || event.position !== 20),
  )],
  ['reports a finish too early', (events) => new Observable((subscriber) => (
    events.subscribe((event) => subscriber.next(event.kind === 'token' && event.position === 20
      ? { kind: 'finish', position: 60, reason: 'length' }
      : event))))],
  ['ends without a finish', (events) => new Observable((subscriber) => (
    events.subscribe((event) => {
      if (event.kind === 'token' && event.position === 20) subscriber.complete();
      else subscriber.next(event);
    })))],
  ['repeats one token forever', (events) => new Observable((subscriber) => (
    events.subscribe((event) => subscriber.next(event.kind === 'token' && event.position > 20
      ? { ...event, position: 20 }
      : event))))],
  ['sends two interleaved streams', (events) => merge(events, events)],
];

broken.forEach(([title, change]) => {
  test(`an engine that ${title} does not corrupt the answer`, async (t) => {
    const { clock, call } = deployment({
      wrap: (engine) => withOverrides(engine, engine.options.name === 'e1'
        ? { generate: (request) => change(engine.generate(request)) }
        : {}),
    });
    await clock.advance(50);
    const caller = call(REQUEST);
    await clock.advance(3_000);
    t.is(caller.end()?.kind, 'finish');
    t.true(isCompleteAnswer(REQUEST, caller.text()));
  });
});

test('never: a loss at position 0 is not restarted without a confirmed cancel', async (t) => {
  const { clock, call, engines } = deployment({ engine: { stepMs: 50 } });
  await clock.advance(50);
  const caller = call(requestOf({ repeat: 'never' }));
  await clock.advance(10);
  [...engines.values()].find(({ started }) => started.length > 0)!.crash('next');
  await clock.advance(2_000);
  t.like(caller.end(), { kind: 'refusal', refusal: { ran: 'unknown' } });
  t.is([...engines.values()].flatMap(({ started }) => started).length, 1);
});

test('the work of a caller that disconnects is cancelled', async (t) => {
  const { clock, call, busy } = deployment();
  await clock.advance(50);
  const caller = call(REQUEST);
  await clock.advance(20);
  caller.leave();
  await clock.advance(20);
  t.is((await busy().load()).running, 0);
});

test('an answer with no engine left on its version is refused as partly run', async (t) => {
  const {
    clock, call, busy, engines,
  } = deployment({ engines: 2 });
  await clock.advance(50);
  const caller = call(REQUEST);
  await clock.advance(40);
  const engine = busy();
  await Promise.all([...engines.values()].filter((other) => other !== engine).map((other) => (
    other.order({
      order: { kind: 'unload', model: 'm', version: '1' }, fence: 1, validForMs: 1_000,
    }))));
  await clock.advance(250);
  // The answer may have ended meanwhile; a longer one is cut.
  const long = call(requestOf({ id: 'long', sampling: { ...REQUEST.sampling, maxTokens: 400 } }));
  await clock.advance(40);
  await engine.order({
    order: { kind: 'unload', model: 'm', version: '1' }, fence: 1, validForMs: 1_000,
  });
  await clock.advance(250);
  engine.crash('next');
  await clock.advance(12_000);
  t.is(caller.end()?.kind, 'finish');
  const end = long.end();
  t.true(end?.kind === 'finish' || (end?.kind === 'refusal' && end.refusal.ran === 'partly'));
});

test('a daemon that was itself paused suspects no engine', async (t) => {
  const {
    clock, call, engines, paused,
  } = deployment();
  await clock.advance(50);
  const caller = call(REQUEST);
  await clock.advance(40);
  // The daemon and its timers are paused for two seconds, while the engine's tokens stay unread.
  const engine = [...engines.values()].find(({ started }) => started.length > 0)!;
  engine.pause();
  paused.forMs = 2_000;
  await clock.advance(15);
  engine.resume();
  await clock.advance(500);
  t.true(isCompleteAnswer(REQUEST, caller.text()));
  t.is([...engines.values()].flatMap(({ started }) => started).length, 1);
});

test('the streams of a lost busy engine resume on the others, a few at a time', async (t) => {
  const { clock, call, engines } = deployment({ engines: 4, engine: { slots: 64 } });
  await clock.advance(50);
  const callers = Array.from({ length: 40 }, (_, index) => call(requestOf({ id: `g${index}` })));
  await clock.advance(40);
  const [first] = [...engines.values()];
  first!.crash('next');
  await clock.advance(1_000);
  callers.forEach((caller) => t.true(isCompleteAnswer(REQUEST, caller.text())));
  t.true(Math.max(...callers.map(longestPause)) < 100);
});
