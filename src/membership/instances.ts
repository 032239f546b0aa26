/**
 * The platform's list of instances and the network between the daemons, as the rest of the program
 * sees them. The HTTP and tRPC clients and the fakes implement these interfaces.
 */
import type { Observable } from 'rxjs';

export type ListedState = 'live' | 'leaving';

export interface ListedInstance {
  readonly name: string;
  readonly zone: string;
  /** `host:port` of the instance's peer listener, by IP. */
  readonly peerAddress: string;
  readonly state: ListedState;
}

/** The platform's list of live and leaving instances; it lags behind the truth. */
export interface InstanceList {
  read(): Promise<readonly ListedInstance[]>;
}

/** Calls beside heartbeats that a peer may answer. */
export type PeerMethod = 'claim' | 'configuration' | 'why';

/** Carries messages of this project's own protocol between daemons. */
export interface PeerNetwork {
  /** Sends one heartbeat and resolves with the peer's; rejects on loss or a peer that refuses. */
  exchange(address: string, message: unknown, deadlineMs: number): Promise<unknown>;

  /**
   * Calls another handler of the peer and resolves with its answer's body. Rejects when there is
   * none within the deadline, or the peer speaks another protocol version; the handler may have
   * run in the first case, but not in the second.
   */
  call(method: PeerMethod, address: string, body: unknown, deadlineMs: number): Promise<unknown>;
}

export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** One daemon as this daemon sees it. */
export interface Member {
  readonly name: string;
  readonly zone: string;
  readonly peerAddress: string;
  /** Grows each time the daemon starts. */
  readonly incarnation: number;
  readonly state: MemberState;
  /** The configuration revision in force there, 0 for none. */
  readonly revision: number;
}

export interface MembershipView {
  /** The live members, this daemon included, ordered by name; a new value with every change. */
  readonly members: Observable<readonly Member[]>;

  current(): readonly Member[];
}
