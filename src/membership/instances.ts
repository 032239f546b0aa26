/**
 * Interfaces to the platform's instance list and to the network between daemons, implemented by
 * the HTTP and tRPC clients and by the fakes in tests.
 */
import type { Observable } from 'rxjs';

export type ListedState = 'live' | 'leaving';

export interface ListedInstance {
  readonly name: string;
  readonly zone: string;
  /** `host:port` of the instance's peer listener; the host is an IP address. */
  readonly peerAddress: string;
  readonly state: ListedState;
}

/** The platform's list of live and leaving instances, which may be out of date. */
export interface InstanceList {
  read(): Promise<readonly ListedInstance[]>;
}

/** The peer calls other than heartbeats. */
export type PeerMethod = 'claim' | 'configuration' | 'why';

/** Sends messages of the peer protocol to other daemons. */
export interface PeerNetwork {
  /** Sends a message and resolves with the answer; rejects if it is lost or refused. */
  exchange(address: string, message: unknown, deadlineMs: number): Promise<unknown>;

  /**
   * Calls one of the peer's other handlers and resolves with the body of its answer. Rejects if
   * there is no answer within the deadline, in which case the handler may have run, or if the peer
   * speaks another protocol version, in which case it has not.
   */
  call(method: PeerMethod, address: string, body: unknown, deadlineMs: number): Promise<unknown>;
}

export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** This daemon's view of one member. */
export interface Member {
  readonly name: string;
  readonly zone: string;
  readonly peerAddress: string;
  /** Increases with each start of the daemon. */
  readonly incarnation: number;
  readonly state: MemberState;
  /** The configuration revision that the member runs with; 0 if it has none. */
  readonly revision: number;
}

export interface MembershipView {
  /** All members that are not dead, including this daemon, sorted by name; emits on change. */
  readonly members: Observable<readonly Member[]>;

  current(): readonly Member[];
}
