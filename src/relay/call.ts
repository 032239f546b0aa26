/** A caller's request as it passes through the relay. */
import type { RawHeaders, RequestFields } from './dialect.js';
import type { RelayRoute, RelayService, RelayWorkspace } from './routes.js';

export interface Call {
  /** Request id chosen by the caller. */
  readonly id: string;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly target: string;
  /** The caller's raw headers, including hop-by-hop headers. */
  readonly headers: RawHeaders;
  readonly fields: RequestFields;
  readonly body: Buffer;
  readonly route: RelayRoute;
  readonly service: RelayService;
  readonly workspace: RelayWorkspace | undefined;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** When the request's head arrived, by the scheduler's clock. */
  readonly receivedAt: number;
  /** The earlier of the caller's deadline and the route's timeout. */
  readonly deadlineAt: number;
  /** Version of the configuration that the request was routed by. */
  readonly version: number;
  /** The instance that forwarded the request; undefined if it came from its caller. */
  readonly forwardedBy: string | undefined;
}

/** Status and headers of a response. */
export interface ResponseHead { readonly status: number; readonly headers: RawHeaders }

export interface BufferedResponse extends ResponseHead { readonly body: readonly Buffer[] }
