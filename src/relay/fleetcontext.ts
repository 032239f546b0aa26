/** What the fleet of backend servers needs of its daemon. */
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import type { IdentityContext } from './identity.js';
import type { Load } from './serverstate.js';

/** Loads that other instances report, by server. */
export type PeerLoads = (server: string) => readonly Load[];

export interface FleetContext extends IdentityContext {
  readonly random: Random;
  readonly log: Log;
  /** How long an address is kept from other services after its server has ended. */
  readonly reuseAfterMs: number;
  readonly peerLoads: PeerLoads;
  /** Called when work that other instances had better know of was given to a server. */
  readonly onAssigned: () => void;
}
