/**
 * How relayed requests and answers carry what the relay has to know. The platform's adapter
 * implements it with the platform's header names.
 */

export type RawHeaders = readonly string[];

/** A part of a prompt; requests share parts, but for the last, which is the request's own. */
export interface PromptPart { readonly id: string; readonly tokens: number }

/** What a caller's headers say. */
export interface RequestFields {
  readonly id: string | undefined;
  readonly key: string | undefined;
  /** How long the caller waits, from when it sent the request. */
  readonly deadlineMs: number | undefined;
  /** The last event that a returning caller has. */
  readonly lastEventId: number | undefined;
  /** Tokens of the prompt, and the most that may be generated. */
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** In the order of the prompt. */
  readonly parts: readonly PromptPart[];
}

/** Where a server finds the memory of the run that it goes on with. */
export interface StandbyCopy {
  readonly address: string;
  readonly run: string;
}

/** What the relay tells a backend server beside what the caller sent. */
export interface ForwardedFields {
  /** The only server that may run the request. */
  readonly server: string;
  readonly deadlineMs: number;
  readonly workspace: string | undefined;
  /** 0 goes first; undefined for plain services. */
  readonly priority: number | undefined;
  readonly lastEventId: number | undefined;
  /** `host:port` of the engine that keeps a standby copy of the run's memory. */
  readonly standby: string | undefined;
  readonly goOnFrom: StandbyCopy | undefined;
}

/** What a server's headers say. */
export interface ResponseFields {
  /** The request that the answer belongs to. */
  readonly id: string | undefined;
  readonly signature: string | undefined;
  /** The server says that it has not run the request. */
  readonly notRun: boolean;
  /** The server that answered, where it tells. */
  readonly server: string | undefined;
  readonly weights: number | undefined;
}

export interface Dialect {
  readRequest(headers: RawHeaders): RequestFields;
  /** The caller's headers without those that are the relay's to set, and the relay's own. */
  serverHeaders(headers: RawHeaders, directions: ForwardedFields): readonly string[];
  readResponse(status: number, headers: RawHeaders): ResponseFields;
  /** The value of `Retry-After`. */
  retryAfter(ms: number): string;
}
