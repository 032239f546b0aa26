/**
 * The steps of the fuzzing: requests, actions of the platform and of operators, and faults. A step
 * is plain data, so that a run can be printed and replayed.
 */
import type { CallerRequest } from '../fakes/callers.js';
import { LIST, STORE } from '../fakes/links.js';
import type { ObjectFaults } from '../../src/standin/objects.js';
import type { EngineFaults } from '../fakes/links.js';
import { processName } from '../fakes/processroles.js';
import type { World } from '../fakes/world.js';
import type { Edit } from '../fakes/worldconfiguration.js';

interface Link { readonly from: string; readonly to: string }

export type Step =
  | { readonly kind: 'ask' } & CallerRequest
  | { readonly kind: 'hang_up'; readonly call: number }
  | {
    readonly kind: 'come_back';
    readonly call: number;
    readonly daemon: string;
    readonly withText: boolean;
  }
  | { readonly kind: 'advance'; readonly ms: number }
  | { readonly kind: 'crash_engine'; readonly engine: string; readonly how: 'ended' | 'silent' }
  | { readonly kind: 'start_engine'; readonly engine: string }
  | { readonly kind: 'pause' | 'suspend' | 'wake'; readonly node: string }
  | { readonly kind: 'kill_daemon'; readonly daemon: string; readonly how: 'ended' | 'silent' }
  | { readonly kind: 'start_daemon'; readonly daemon: string }
  | { readonly kind: 'cut'; readonly both: boolean } & Link
  | { readonly kind: 'isolate'; readonly node: string }
  | { readonly kind: 'delay'; readonly ms: number } & Link
  | { readonly kind: 'mend' } & Link
  | { readonly kind: 'mend_all' }
  | {
    readonly kind: 'engine_faults';
    readonly engine: string;
    readonly faults: Partial<EngineFaults>;
  }
  | { readonly kind: 'leave_engine'; readonly engine: string }
  | { readonly kind: 'stop_daemon'; readonly daemon: string; readonly paused: boolean }
  | { readonly kind: 'edit'; readonly operator: string; readonly edit: Edit }
  | { readonly kind: 'store'; readonly faults: Partial<ObjectFaults> }
  | { readonly kind: 'compact' }
  | { readonly kind: 'list_lag'; readonly ms: number };

function cutLinks(world: World, links: readonly Link[]): void {
  links.forEach(({ from, to }) => world.network.cut(from, to));
}

async function perform(world: World, step: Step): Promise<void> {
  const { network } = world;
  switch (step.kind) {
    case 'ask': return world.callers.send({ ...step, daemon: processName(world, step.daemon) });
    case 'hang_up': {
      const { open } = world.oracle;
      const call = open[step.call % Math.max(1, open.length)];
      return call && world.callers.disconnect(call);
    }
    case 'come_back': {
      const { returnable: lost } = world.callers;
      return world.callers.returnTo(lost[step.call % lost.length]!, step.daemon, step.withText);
    }
    case 'advance': return world.advance(step.ms);
    case 'crash_engine': return world.crashEngine(processName(world, step.engine), step.how);
    case 'start_engine': return network.start(step.engine);
    case 'pause': return network.node(processName(world, step.node)).clock.pause();
    case 'suspend': return network.node(processName(world, step.node)).clock.pause(true);
    case 'wake': return network.node(step.node).clock.wake();
    case 'kill_daemon': return world.killDaemon(processName(world, step.daemon), step.how);
    case 'start_daemon': return world.startDaemon(step.daemon);
    case 'cut': {
      const { from, to } = step;
      return cutLinks(world, step.both ? [{ from, to }, { from: to, to: from }] : [{ from, to }]);
    }
    case 'isolate': {
      const node = processName(world, step.node);
      const others = [...world.daemons.keys(), ...world.engines.keys(), STORE, LIST]
        .filter((name) => name !== node);
      return cutLinks(world, others.flatMap((other) => (
        [{ from: node, to: other }, { from: other, to: node }])));
    }
    case 'delay': return network.delay(step.from, step.to, step.ms);
    case 'mend': return network.heal(step.from, step.to);
    case 'mend_all': return network.healAll();
    case 'engine_faults':
      return world.setEngineFaults(processName(world, step.engine), step.faults);
    case 'leave_engine': return world.leaveEngine(processName(world, step.engine));
    case 'stop_daemon':
      world.stopDaemon(step.daemon);
      if (step.paused) network.node(step.daemon).clock.pause();
      return undefined;
    case 'edit': return world.operators.edit(step.operator, step.edit);
    case 'store': return world.setStoreFaults(step.faults);
    case 'compact': return world.objects.compact();
    case 'list_lag': return world.list.lag(step.ms);
  }
}

/** Performs the step and throws the oracle's first violation. */
export async function play(world: World, step: Step): Promise<void> {
  if (step.kind !== 'ask' && step.kind !== 'advance') world.oracle.recordDisturbance();
  await perform(world, step);
  if (step.kind !== 'advance') await world.advance(0);
  const [first] = world.oracle.violations;
  if (first !== undefined) throw new Error(first);
}
