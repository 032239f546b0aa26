/**
 * One instance of the system, put together from its parts. Everything outside comes in through the
 * adapters, so that tests run several instances in one process under one virtual clock.
 */
import { BehaviorSubject } from 'rxjs';
import type { Observable, SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import type { Configuration } from '../configuration/configuration.js';
import { EMPTY_CONFIGURATION } from '../configuration/defaults.js';
import { EngineMonitor } from '../engines/monitor.js';
import type { EngineDialer } from '../engines/monitor.js';
import { Gateway } from '../entry/gateway.js';
import type { InstanceList, PeerNetwork } from '../membership/instances.js';
import { LeastLoaded } from '../routing/leastloaded.js';
import type { ObjectApi } from '../store/objects.js';
import { childOf, Supervisor } from './supervisor.js';

export interface InstanceSettings {
  readonly name: string;
  readonly zone: string;
  /** `host:port` of the listener for other daemons, by IP. */
  readonly peerAddress: string;
}

/** What an instance meets of the outside world. */
export interface Adapters {
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
  readonly dial: EngineDialer;
  readonly objects: ObjectApi;
  readonly list: InstanceList;
  readonly network: PeerNetwork;
  /** The configuration until the instance follows the object API itself. */
  readonly configurations: Observable<Configuration>;
}

export class Instance {
  readonly settings: InstanceSettings;

  readonly gateway: Gateway;

  /** The supervisor tree; the instance works while it is subscribed to. */
  readonly run: Observable<never>;

  readonly #configuration = new BehaviorSubject(EMPTY_CONFIGURATION);

  private constructor(settings: InstanceSettings, adapters: Adapters) {
    const { scheduler, log } = adapters;
    this.settings = settings;
    const monitor = EngineMonitor.of(adapters.dial, scheduler, log);
    const dispatcher = LeastLoaded.of(monitor, () => this.#configuration.value, log);
    this.gateway = Gateway.of({
      dispatcher,
      directory: monitor,
      watcher: monitor,
      scheduler,
      log,
      configuration: () => this.#configuration.value,
    });
    this.run = Supervisor.of('instance', [
      childOf('configuration', () => {
        const following = adapters.configurations
          .subscribe((configuration) => this.#configuration.next(configuration));
        return () => following.unsubscribe();
      }),
      childOf('engines', () => {
        const running = monitor.start(this.#configuration);
        return () => running.unsubscribe();
      }),
    ], adapters).run;
  }

  static of(settings: InstanceSettings, adapters: Adapters): Instance {
    return new Instance(settings, adapters);
  }

  get configuration(): Configuration {
    return this.#configuration.value;
  }
}
