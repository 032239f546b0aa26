/** What the exchange of messages with other instances needs. */
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import type { LocalState } from './localmessage.js';
import type { PeerListener } from './peerlistener.js';

export interface PeersContext {
  readonly ip: string;
  /** This instance's zone, whose instances hear of loads first; undefined if all are alike. */
  readonly zone?: string | undefined;
  readonly port: number;
  readonly seeds: readonly string[];
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
  readonly listener: PeerListener;
  readonly localState: () => LocalState;
}
