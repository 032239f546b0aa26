/** Servers whose addresses others answer at: the same servers, restarted, or other services. */
import test from 'ava';
import type { ExecutionContext } from 'ava';
import type { SchedulerLike } from 'rxjs';
import { Random } from '../src/common/random.js';
import { Connections } from '../src/relay/connections.js';
import { Fleet } from '../src/relay/fleet.js';
import { Meter } from '../src/relay/meter.js';
import { VirtualClock } from './fakes/clock.js';
import { eventually } from './fakes/eventually.js';
import { RecordedLog } from './fakes/recordedlog.js';
import { testDialect } from './fakes/relaydialect.js';
import { RelayEngine } from './fakes/relayengine.js';

const REUSE_AFTER_MS = 2_000;

/** A fleet of one server, `e1`, in a process that can be paused and a machine that can be. */
class Instance {
  readonly clock = new VirtualClock();

  readonly log = new RecordedLog();

  readonly fleet: Fleet;

  readonly engine: RelayEngine;

  #pausedMs = 0;

  #suspendedMs = 0;

  private constructor(engine: RelayEngine) {
    this.engine = engine;
    const scheduler: SchedulerLike = {
      now: () => this.clock.now() + this.#pausedMs,
      schedule: this.clock.schedule.bind(this.clock),
    };
    this.fleet = Fleet.of({
      scheduler,
      wallClock: () => this.clock.now() + this.#pausedMs + this.#suspendedMs,
      random: Random.of(1),
      log: this.log,
      connections: Connections.of(Meter.of()),
      dialect: testDialect,
      healthPath: () => '/health',
      reuseAfterMs: REUSE_AFTER_MS,
      admission: () => ({ isLimited: false, delayMs: 0 }),
      peerLoads: () => [],
      onRestart: () => undefined,
      onUrgentChange: () => undefined,
    });
    this.fleet.upsert({
      id: 'e1',
      service: 'engines',
      address: engine.address,
      zone: 'a',
      state: 'ready',
      slots: 1,
      startedAt: 1,
      software: 'v1',
      weights: 1,
    }, 'store');
  }

  static async of(t: ExecutionContext): Promise<Instance> {
    const [engine] = await RelayEngine.fleet([{ id: 'e1', zone: 'a' }]);
    const instance = new Instance(engine!);
    const running = instance.fleet.start();
    t.teardown(() => running.unsubscribe());
    t.teardown(() => engine!.end());
    await instance.clock.advance(1_000);
    return instance;
  }

  /** Passes time in which no timer fires and nothing is read. */
  pause(ms: number): void {
    this.#pausedMs += ms;
  }

  /** The same, unseen by the monotonic clock. */
  suspend(ms: number): void {
    this.#suspendedMs += ms;
  }

  /** The server at the address is found to be another one; resolves to whether it is used. */
  async usesReplacement(): Promise<boolean> {
    this.engine.crash();
    await this.engine.restartAs('e2');
    this.fleet.markSuspect('e1', 'reset');
    await this.clock.advance(100);
    await eventually(() => this.log.of('server_removed').length > 0);
    return this.fleet.server('e2') !== undefined;
  }
}

const CASES: Readonly<Record<string, {
  /** Whether the server that answers at the address counts as the same one. */
  readonly isSame?: boolean;
  readonly heard?: boolean;
  readonly then: (instance: Instance, t: ExecutionContext) => Promise<unknown> | void;
}>> = {
  'a server that restarts soon after an answer is used under its new id': {
    isSame: true, then: ({ clock }) => clock.advance(1_500),
  },
  'bytes read after a pause do not show that a server ran in it': {
    then: (instance) => {
      instance.pause(3_500);
      instance.fleet.markHeard('e1', true);
    },
  },
  'a suspended machine does not take another server for one that restarted': {
    then: (instance) => {
      instance.suspend(3_500);
      instance.fleet.markHeard('e1', true);
    },
  },
  'a server that was never heard from has no successor at its address': {
    heard: false, then: () => undefined,
  },
  'an accepted connection does not show that the server itself runs': {
    then: async ({ clock, fleet }, t) => {
      await clock.advance(REUSE_AFTER_MS + 500);
      const heardAt = fleet.heardAt('e1');
      fleet.verifySuspect('e1', 1, 'another instance');
      t.true(await eventually(() => fleet.heardAt('e1') > heardAt));
    },
  },
  'a refusal by another server does not show that the server itself runs': {
    then: async ({ clock, fleet }) => {
      await clock.advance(REUSE_AFTER_MS + 500);
      fleet.markHeard('e1', false);
    },
  },
};
Object.entries(CASES).forEach(([name, { isSame = false, heard = true, then }]) => {
  test(name, async (t) => {
    const instance = await Instance.of(t);
    if (heard) instance.fleet.markHeard('e1', true);
    await then(instance, t);
    t.is(await instance.usesReplacement(), isSame);
  });
});
