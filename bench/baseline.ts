/** Simpler policies that the system's own are compared with, behind the same interfaces. */
import { err, ok } from 'neverthrow';
import { of, Subscription, timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { Random } from '../src/common/random.js';
import type { Refusal } from '../src/common/refusal.js';
import type { Configuration } from '../src/configuration/configuration.js';
import type { Directory, EngineView } from '../src/engines/directory.js';
import type { Watcher } from '../src/engines/watch.js';
import type { AssignmentRequest, Dispatcher } from '../src/routing/dispatcher.js';

/**
 * `ours`: the system as it is. `restart`: a lost answer is not resumed, its caller asks again from
 * the start. `random`, `round_robin`: that choice of engine, without a queue. `fixed_timeout`: a
 * stream is lost after a fixed silence, and no second attempt is started beside a silent one.
 */
export type Baseline = 'ours' | 'restart' | 'random' | 'round_robin' | 'fixed_timeout';

export type Chooser = (views: readonly EngineView[]) => EngineView | undefined;

export function chooserOf(baseline: 'random' | 'round_robin', random: Random): Chooser {
  let turn = random.integer(0, 1_000);
  switch (baseline) {
    case 'random': return (views) => (views.length === 0 ? undefined : random.pick(views));
    case 'round_robin': return (views) => {
      turn += 1;
      return views[turn % Math.max(1, views.length)];
    };
  }
}

/** A dispatcher without admission or queue that takes any engine up with the model. */
export function simpleDispatcher(
  directory: Directory,
  configuration: () => Configuration,
  choose: Chooser,
): Dispatcher {
  return {
    admit: () => ok({ release: () => undefined }),
    assign: ({ target, exclude }: AssignmentRequest) => {
      if (target.kind === 'service') throw new Error('not a model');
      const version = target.version ?? configuration().models[target.model]!.version;
      const chosen = choose(directory.engines().filter(({ health, report, server }) => (
        health === 'up' && !exclude.includes(server.name)
        && report?.models.some(({ model }) => model === target.model))));
      return of(chosen
        ? ok({ server: chosen.server.name, version, release: () => undefined })
        : err<never, Refusal>({ code: 'unavailable', message: 'no engine', ran: 'no' }));
    },
  };
}

/** Refuses resumes, so that a lost answer ends. */
export function withoutResume(dispatcher: Dispatcher): Dispatcher {
  return {
    admit: (workspace, priority) => dispatcher.admit(workspace, priority),
    assign: (demand) => (demand.resume
      ? of(err<never, Refusal>({ code: 'interrupted', message: 'not resumed', ran: 'partly' }))
      : dispatcher.assign(demand)),
  };
}

/** Takes a stream for lost when it has given nothing for `timeoutMs`. */
export function fixedTimeout(timeoutMs: number, scheduler: SchedulerLike): Watcher {
  return {
    watch: (_, __, listener) => {
      let waiting = Subscription.EMPTY;
      const wait = () => {
        waiting.unsubscribe();
        waiting = timer(timeoutMs, scheduler).subscribe(() => listener.lost({
          kind: 'failed', cause: 'silent', ran: 'unknown', message: `silent for ${timeoutMs} ms`,
        }));
      };
      wait();
      return {
        opened: wait, progressed: wait, setPaused: wait, close: () => waiting.unsubscribe(),
      };
    },
  };
}
