/** An instance's dependencies on the outside world, which tests replace by fakes. */
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import type { EngineDialer } from '../engines/monitor.js';
import type { InstanceList, PeerNetwork } from '../membership/instances.js';
import type { ObjectApi } from '../store/objects.js';

export interface Adapters {
  readonly scheduler: SchedulerLike;
  /** Milliseconds since 1970. */
  readonly wallClock: () => number;
  readonly random: Random;
  readonly log: Log;
  readonly dial: EngineDialer;
  readonly objects: ObjectApi;
  readonly list: InstanceList;
  readonly network: PeerNetwork;
}
