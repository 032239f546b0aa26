/** The daemon: creates an instance and its listeners from the settings. */
import type { Observable } from 'rxjs';
import { adminRouter } from '../admin/router.js';
import { adminServer } from '../admin/server.js';
import { parseHostPort } from '../common/address.js';
import { listenerOf } from '../common/listeners.js';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import { Supervisor } from '../common/supervisor.js';
import { monotonicScheduler } from '../common/time.js';
import { HttpEngineClient } from '../engines/client.js';
import { EntryServer } from '../entry/server.js';
import { HttpInstanceList } from '../membership/listclient.js';
import { PeerClient } from '../membership/peerclient.js';
import { PeerServer } from '../membership/peerserver.js';
import { HttpObjects } from '../store/client.js';
import { administrationOf } from './administration.js';
import { Instance } from './instance.js';
import type { Settings } from './settings.js';

const scheduler = monotonicScheduler;

function wallClock(): number {
  return Date.now();
}

export class Daemon {
  readonly instance: Instance;

  /** The supervisor tree, listeners included; the daemon runs while this is subscribed to. */
  readonly run: Observable<never>;

  private constructor(settings: Settings, random: Random, log: Log) {
    const { keys, listen, stop } = settings;
    const instance = Instance.of({
      name: settings.name,
      zone: settings.zone,
      peerAddress: settings.advertise === '-' ? listen.peers : settings.advertise,
      cursorKey: keys.cursors,
      drain: { lagMs: stop.balancer_lag, limitMs: stop.limit },
    }, {
      scheduler,
      wallClock,
      random,
      log,
      dial: ({ address }) => HttpEngineClient.of(address),
      objects: HttpObjects.of(settings.platform.objects, scheduler),
      list: HttpInstanceList.of(settings.platform.instances),
      network: PeerClient.of({
        key: keys.peers, scheduler, random, wallClock,
      }),
    });
    const administrators = keys.administrators
      .map(({ name, key_hash: keyHash }) => ({ name, keyHash }));
    this.instance = instance;
    this.run = Supervisor.of('daemon', [
      { name: 'instance', run: instance.run },
      listenerOf('callers', listen.callers, () => EntryServer.of(instance.gateway, random, {
        ready: () => instance.ready, drain: instance.drain, metrics: instance.metrics, scheduler,
      })),
      PeerServer.of({
        ...parseHostPort(listen.peers),
        key: keys.peers,
        handlers: instance.handlers,
        log,
        wallClock,
      }),
      listenerOf('administrators', listen.administrators, () => adminServer({
        router: adminRouter(administrationOf(instance), instance.publisher), administrators, log,
      })),
    ], { scheduler, random, log }).run;
  }

  static of(settings: Settings, random: Random, log: Log): Daemon {
    return new Daemon(settings, random, log);
  }
}
