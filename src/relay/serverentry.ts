/** A backend server's entry in the platform's store, decoded. */

/** Ids are sent in a header and in messages between instances; no longer than a host's name. */
const ID = /^[!-~]{1,253}$/;

export function isServerId(text: string): boolean {
  return ID.test(text);
}

/** `leaving` servers finish their requests and get no new ones. */
export type EntryState = 'ready' | 'leaving';

export interface ServerEntry {
  /** Identifies one server; its address may later be reused by another. */
  readonly id: string;
  readonly service: string;
  /** `host:port`, where the host is an IP address. */
  readonly address: string;
  readonly zone: string;
  readonly state: EntryState;
  readonly slots: number;
  /** When the server's process started, in Unix milliseconds; 0 if the entry doesn't say. */
  readonly startedAt: number;
  /** Version of the server's software; undefined if the entry names none. */
  readonly software: string | undefined;
  /** Version of the loaded weights; undefined for plain services. */
  readonly weights: number | undefined;
}
