/**
 * Reads and writes the headers that carry what the relay needs to know. The platform's adapter
 * implements this with the platform's header names.
 */

/** Alternating names and values, as in Node's `rawHeaders`. */
export type RawHeaders = readonly string[];

/** A segment of a prompt; requests can share all segments but the last. */
export interface PromptPart { readonly id: string; readonly tokens: number }

/** What the relay reads from a caller's headers. */
export interface RequestFields {
  readonly id: string | undefined;
  readonly key: string | undefined;
  /** How long the caller waits, counted from when it sent the request. */
  readonly deadlineMs: number | undefined;
  /** The last event that a reconnecting caller has received. */
  readonly lastEvent: number | undefined;
  /** The attempt of a reconnecting caller that brought the stream's first event, by its id. */
  readonly resumes: string | undefined;
  readonly model: string | undefined;
  /** Length of the prompt, and the limit on generated tokens. */
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** In the order of the prompt. */
  readonly parts: readonly PromptPart[];
}

/** Where a server finds the KV cache of the run that it resumes. */
export interface StandbyCopy {
  readonly address: string;
  readonly run: string;
}

/** What the relay adds to a request for a backend server. */
export interface ForwardedFields {
  /** The only server that may run the request. */
  readonly server: string;
  readonly deadlineMs: number;
  readonly workspace: string | undefined;
  /** 0 is the highest priority; undefined for plain services. */
  readonly priority: number | undefined;
  readonly lastEvent: number | undefined;
  /** `host:port` of the engine that keeps a standby copy of the run's KV cache. */
  readonly standby: string | undefined;
  readonly goOnFrom: StandbyCopy | undefined;
}

/** The requests per second that a server says it takes from all instances together. */
export type AdvertisedLimit =
  | { readonly kind: 'none' }
  | { readonly kind: 'rate'; readonly perSecond: number }
  | { readonly kind: 'unreadable'; readonly text: string };

/** What the relay reads from the headers of a server's response. */
export interface ResponseFields {
  /** The request that the response belongs to. */
  readonly id: string | undefined;
  readonly signature: string | undefined;
  /** The server says that it has not run the request. */
  readonly notRun: boolean;
  /** The server that responded, if it names itself. */
  readonly server: string | undefined;
  readonly limit: AdvertisedLimit;
  /** The server says that it leaves. */
  readonly leaving: boolean;
  /** How long a server that turned the request away wants nothing from this instance. */
  readonly pauseMs: number | undefined;
  /**
   * Requests that the servers of its service can turn away in a second without ending; undefined if
   * any number.
   */
  readonly brittle: number | undefined;
}

export interface Dialect {
  /** Names, in lowercase, of the headers that `readResponse` reads. */
  readonly responseFields: ReadonlySet<string>;
  readRequest(headers: RawHeaders): RequestFields;
  /** The caller's headers, with those that only the relay may set replaced by its own. */
  serverHeaders(headers: RawHeaders, fields: ForwardedFields): readonly string[];
  readResponse(status: number, headers: RawHeaders): ResponseFields;
  /** The value of `Retry-After`. */
  retryAfter(ms: number): string;
}
