/** A backend server as its entry in the platform's store describes it. */

/** `leaving` servers finish what they have and get nothing new. */
export type EntryState = 'ready' | 'leaving';

export interface ServerEntry {
  /** Names one server; an address may pass to another one. */
  readonly id: string;
  readonly service: string;
  /** `host:port`, by IP. */
  readonly address: string;
  readonly zone: string;
  readonly state: EntryState;
  readonly slots: number;
  /** When the server's process started, in milliseconds since 1970; 0 where it doesn't tell. */
  readonly startedAt: number;
  /** Version of the weights it holds; undefined for plain services. */
  readonly weights: number | undefined;
}
