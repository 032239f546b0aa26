/** One caller's request on its way through the relay. */
import type { RequestFields, RawHeaders } from './dialect.js';
import type { RelayRoute, RelayService, RelayWorkspace } from './routes.js';

export interface Call {
  /** The caller's own id of the request. */
  readonly id: string;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly target: string;
  /** The caller's headers that go beyond this hop. */
  readonly headers: RawHeaders;
  readonly caller: RequestFields;
  readonly body: Buffer;
  readonly route: RelayRoute;
  readonly service: RelayService;
  readonly workspace: RelayWorkspace | undefined;
  /** 0 goes first. */
  readonly priority: number;
  /** When the request's head came, on the scheduler's clock. */
  readonly receivedAt: number;
  /** When the caller or the route stops waiting. */
  readonly deadlineAt: number;
  /** Version of the configuration that decided. */
  readonly version: number;
}

/** An answer's head as the caller gets it. */
export interface ResponseHead { readonly status: number; readonly headers: RawHeaders }

export interface BufferedResponse extends ResponseHead { readonly body: Buffer }
