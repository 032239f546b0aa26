import test from 'ava';
import { DEFAULT_LIMITS } from '../src/configuration/defaults.js';
import type { Priority } from '../src/common/priority.js';
import { nextEntry, queueTransaction } from '../src/limits/queue.js';
import type { QueueEvent, QueueRefusal } from '../src/limits/queue.js';
import { deadlineOf, EMPTY_QUEUE } from '../src/limits/queuestate.js';
import type { Entry, QueueState } from '../src/limits/queuestate.js';

const LIMITS = { ...DEFAULT_LIMITS, queueLength: 12 };

/** A queue under test; `enter` fills in an entry's defaults, to keep the tests short. */
class TestQueue {
  #state: QueueState = EMPTY_QUEUE;

  #nextId = 0;

  now = 0;

  readonly refused: string[] = [];

  #apply(event: QueueEvent): void {
    const tr = queueTransaction(this.#state, event, LIMITS);
    this.#state = tr.state;
    tr.effects.forEach(({ entry, cause }: QueueRefusal) => {
      this.refused.push(`${entry.workspace}#${entry.id} ${cause}`);
    });
  }

  enter(workspace: string, priority: Priority, options: Partial<Entry> = {}): void {
    const resume = options.resume ?? false;
    this.#apply({
      kind: 'enter',
      entry: {
        id: this.#nextId,
        workspace,
        weight: 1,
        priority,
        resume,
        key: 'm',
        cost: 100,
        enteredAt: this.now,
        deadline: deadlineOf(priority, resume, this.now, LIMITS),
        ...options,
      },
    });
    this.#nextId += 1;
  }

  fill(count: number, workspace: string, priority: Priority, options: Partial<Entry> = {}): void {
    for (let index = 0; index < count; index += 1) this.enter(workspace, priority, options);
  }

  place(placeable: (entry: Entry) => boolean = () => true): string {
    const entry = nextEntry(this.#state, placeable);
    if (!entry) return '';
    this.#apply({ kind: 'placed', entry, now: this.now });
    return entry.workspace;
  }

  places(count: number): string {
    return Array.from({ length: count }, () => this.place()).join('');
  }

  tick(): void {
    this.#apply({ kind: 'tick', now: this.now });
  }
}

test('interactive goes first, and batch is not starved', (t) => {
  const queue = new TestQueue();
  let batch = 0;
  queue.fill(2, 'b', 'batch');
  queue.enter('i', 'interactive');
  t.is(queue.place(), 'i');
  for (let round = 0; round < 170; round += 1) {
    queue.enter('i', 'interactive');
    if (queue.place() === 'b') {
      batch += 1;
      queue.place();
      queue.enter('b', 'batch');
    }
  }
  t.true(batch >= 8 && batch <= 12, `${batch}`);
});

test('an idle class accrues no credit', (t) => {
  const queue = new TestQueue();
  for (let round = 0; round < 200; round += 1) {
    queue.enter('i', 'interactive');
    queue.place();
  }
  queue.fill(3, 'b', 'batch');
  queue.fill(9, 'i', 'interactive');
  t.is(queue.places(9), 'iiiiiiiii');
});

test('workspaces of a class share by weight and cost, and a flood does not delay others', (t) => {
  const queue = new TestQueue();
  queue.fill(6, 'a', 'standard');
  queue.fill(3, 'b', 'standard');
  t.is(queue.places(4), 'abab');
  const weighted = new TestQueue();
  weighted.fill(6, 'a', 'standard', { weight: 2 });
  weighted.fill(3, 'b', 'standard');
  t.is(weighted.places(6), 'abaaba');
  const long = new TestQueue();
  long.fill(4, 'a', 'standard', { cost: 300 });
  long.fill(7, 'b', 'standard');
  t.is(long.places(8), 'abbbabbb');
});

test('an idle workspace accrues no credit', (t) => {
  const queue = new TestQueue();
  queue.fill(10, 'a', 'standard');
  queue.places(8);
  queue.fill(6, 'b', 'standard');
  t.is(queue.places(4), 'baba');
});

test('resumes go before new requests of their class', (t) => {
  const queue = new TestQueue();
  queue.fill(2, 'a', 'batch');
  queue.enter('r', 'batch', { resume: true });
  queue.enter('i', 'interactive');
  t.is(queue.places(4), 'iraa');
});

test('an entry whose servers are full does not block others of its workspace', (t) => {
  const queue = new TestQueue();
  queue.enter('a', 'standard', { key: 'full' });
  queue.enter('b', 'standard', { key: 'full' });
  queue.enter('a', 'standard', { key: 'free' });
  t.is(queue.place(({ key }) => key === 'free'), 'a');
  t.is(queue.place(({ key }) => key === 'free'), '');
});

test('entries are refused at their deadlines, resumes no earlier than after 5 s', (t) => {
  const queue = new TestQueue();
  queue.enter('i', 'interactive');
  queue.enter('r', 'interactive', { resume: true });
  queue.enter('s', 'standard');
  queue.now = 499;
  queue.tick();
  t.deepEqual(queue.refused, []);
  queue.now = 500;
  queue.tick();
  t.deepEqual(queue.refused, ['i#0 queue_timeout']);
  queue.now = 5_000;
  queue.tick();
  t.deepEqual(queue.refused.slice(1), ['r#1 queue_timeout', 's#2 queue_timeout']);
  t.is(queue.place(), '');
});

test('a full queue sheds the newest of the longest flow in the lowest class', (t) => {
  const queue = new TestQueue();
  queue.fill(2, 'small', 'batch');
  queue.fill(9, 'large', 'batch');
  queue.enter('s', 'standard');
  t.deepEqual(queue.refused, []);
  queue.enter('i', 'interactive');
  t.deepEqual(queue.refused, ['large#10 overloaded']);
  queue.enter('small', 'batch');
  t.deepEqual(queue.refused.slice(1), ['large#9 overloaded']);
  queue.fill(12, 'i', 'interactive');
  t.true(queue.refused.slice(2, 12).every((refusal) => /small|large/.test(refusal)));
  queue.enter('r', 'batch', { resume: true });
  t.false(queue.refused.some((refusal) => refusal.startsWith('r')));
});

test('a request is refused at once when it would wait past its bound', (t) => {
  const queue = new TestQueue();
  queue.fill(10, 'i', 'interactive');
  for (let step = 0; step < 8; step += 1) {
    queue.now += 55;
    queue.place();
  }
  queue.fill(8, 'i', 'interactive');
  t.deepEqual(queue.refused, []);
  queue.enter('i', 'interactive');
  t.deepEqual(queue.refused, ['i#18 overloaded']);
  queue.enter('other', 'interactive');
  queue.enter('r', 'interactive', { resume: true });
  t.is(queue.refused.length, 1);
});
