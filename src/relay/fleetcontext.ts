/** The dependencies of the fleet of backend servers. */
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import type { SuccessorsContext } from '../liveness/successors.js';
import type { IdentityContext } from './identity.js';
import type { Pacing } from './pacing.js';
import type { ServerEntry } from './serverentry.js';
import type { Admission } from './selection.js';
import type { Load, ServerState } from './serverstate.js';

/** Loads on a server that other instances report. */
export type PeerLoads = (server: string) => readonly Load[];

export interface FleetContext extends IdentityContext, SuccessorsContext {
  readonly random: Random;
  readonly log: Log;
  readonly peerLoads: PeerLoads;
  /** What each server takes well; all alike if undefined. */
  readonly paces?: { readonly pacing: (server: ServerEntry) => Pacing } | undefined;
  /** Whether a server that carries a load admits a request. */
  readonly admission: (server: ServerEntry, load: Load) => Admission;
  /** Called when a server runs another process than before. */
  readonly onRestart: (previous: ServerState, restarted: ServerEntry) => void;
  /** Called on a change of servers that other instances should learn of soon. */
  readonly onUrgentChange: () => void;
  /** Called on each assignment of a run, of which other instances should learn as well. */
  readonly onRoutineChange?: (() => void) | undefined;
}
