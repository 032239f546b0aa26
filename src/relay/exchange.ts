/**
 * One request to one backend server and its response. A response is complete only if it has the
 * length that its head announced, or if it announced none and the connection closed without an
 * error.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import {
  firstValueFrom, Observable, reduce, Subscription, timeout,
} from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import { parseHostPort } from '../common/address.js';
import { isOfRequest, openRequest } from '../common/outgoing.js';
import { readPieces } from '../common/pieces.js';
import type { Pieces } from '../common/pieces.js';
import { afterNextPoll, afterPendingInput } from '../common/time.js';
import { isSelfDelimited, watchCloseDelimited } from '../entry/closedelimited.js';
import { headFault } from '../entry/responsehead.js';
import type { ResponseHead } from './call.js';
import type { RawHeaders } from './dialect.js';
import type { ResponseOwner } from './responseclass.js';
import { canReadPast, readPast } from './extraresponse.js';
import type { KeepAliveAgent } from './keepaliveagent.js';

/** A lost SYN is sent again only after a second; another server answers sooner. */
const CONNECT_TIMEOUT_MS = 120;

/** More than any head that servers send; the parser itself does not limit empty lines before it. */
const MAX_HEAD_BYTES = 131_072;
/**
 * Limits on the bytes that divide a body into chunks, beside which some bytes of it must arrive:
 * chunks of one byte take five.
 */
const MAX_FRAMING_BYTES = 65_536;
const MAX_FRAMING_SHARE = 4;

export interface OutgoingRequest {
  readonly agent: KeepAliveAgent;
  /** `host:port`, by IP. */
  readonly address: string;
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Whether an idle connection may be reused. */
  readonly reuse: boolean;
  /** Limit on the length of the response's body; undefined if it has none. */
  readonly maxBodyBytes?: number | undefined;
  /** Names, in lowercase, of the header fields that decide, and may have one value only. */
  readonly singleFields: ReadonlySet<string>;
  /** Whom a response names; on a kept connection one to another request is read past, once. */
  readonly ownerOf?: ((head: ResponseHead) => ResponseOwner) | undefined;
  /** Told what the response's body is read with. */
  readonly onBody?: ((pieces: Pieces) => void) | undefined;
  /** When the request is no longer worth sending, by the scheduler's clock; never by default. */
  readonly expiresAt?: number | undefined;
}

/** @property kept whether the connection had served an earlier request, to which it may belong */
export interface ReceivedHead extends ResponseHead { readonly kept: boolean }

/** Whether the connection was lost or refused, or the server sent what can't be relied on. */
export type FailureCause = 'connection' | 'response';

/**
 * `failed` with `ran: 'no'` means that no byte of the request was sent. `unsent` means the same and
 * says nothing of the server: the deadline passed first, a kept connection had been closed or
 * carried bytes that belong to no request, or the request can't be sent anywhere. No event follows
 * `end`, `failed` or `unsent`.
 */
export type ExchangeEvent =
  | { readonly kind: 'sent'; readonly reused: boolean }
  | ({ readonly kind: 'head' } & ReceivedHead)
  | { readonly kind: 'piece'; readonly bytes: Buffer }
  | { readonly kind: 'end' }
  | { readonly kind: 'unsent'; readonly message: string }
  | {
    readonly kind: 'failed';
    readonly ran: 'no' | 'unknown';
    readonly cause: FailureCause;
    readonly message: string;
  };

interface ResponseListener {
  chunk(bytes: Buffer): void;
  end(): void;
  fail(message: string, cause?: FailureCause): void;
}

/** Errors of Node's parser are about bytes, but for one about an end that came too early. */
function causeOf({ code = '' }: NodeJS.ErrnoException): FailureCause {
  return code.startsWith('HPE_') && code !== 'HPE_INVALID_EOF_STATE' ? 'response' : 'connection';
}

/** Reads one response, a piece in each turn; calls `end` only if it is complete. */
function readResponse(
  response: IncomingMessage,
  method: string,
  listener: ResponseListener,
): Pieces {
  const connectionError = isSelfDelimited(response, method)
    ? () => undefined : watchCloseDelimited(response);
  const pieces = readPieces(response, (bytes) => listener.chunk(bytes));
  response.once('error', (error) => listener.fail(error.message, causeOf(error)));
  response.once('aborted', () => listener.fail('the response was cut off'));
  response.once('end', () => {
    const reason = response.complete ? connectionError() : 'the response was cut off';
    if (reason === undefined) listener.end();
    else listener.fail(reason);
  });
  return pieces;
}

/** Calls `onBytes` with the length of all that arrives; returns how to stop that. */
function countBytes(socket: Socket, onBytes: (length: number) => void): () => void {
  const count = (bytes: Buffer) => onBytes(bytes.length);
  socket.on('data', count);
  return () => socket.off('data', count);
}

/** Sends on subscription; unsubscribing closes the connection unless the response has ended. */
export function exchange(
  outgoing: OutgoingRequest,
  scheduler: SchedulerLike,
): Observable<ExchangeEvent> {
  return new Observable((subscriber) => {
    const timers = new Subscription();
    const { maxBodyBytes = Infinity, expiresAt = Infinity } = outgoing;
    let sent = false;
    let ended = false;
    let bodyLength = 0;
    /** Bytes that came before the body, and with it; some of the latter are not read yet. */
    let headLength = 0;
    let framedLength = 0;
    let isHeadRead = false;
    let stopCounting: () => void = () => undefined;
    let reading = Subscription.EMPTY;
    let isComplete = () => false;
    const options = {
      ...parseHostPort(outgoing.address),
      method: outgoing.method,
      path: outgoing.target,
      headers: outgoing.headers as unknown as Record<string, string>,
      setHost: false,
    };
    const opened = openRequest({ ...options, agent: outgoing.reuse ? outgoing.agent : false });
    if (opened.isErr()) {
      const { message } = opened.error;
      subscriber.next(isOfRequest(opened.error)
        ? { kind: 'unsent', message }
        : {
          kind: 'failed', ran: 'no', cause: 'connection', message,
        });
      subscriber.complete();
      return undefined;
    }
    const request: ClientRequest = opened.value;
    /** What reads the response: the request, or what reads past an earlier request's response. */
    let reader = request;
    const emit = (event: ExchangeEvent) => {
      if (ended) return;
      ended = event.kind === 'end' || event.kind === 'failed' || event.kind === 'unsent';
      if (ended) stopCounting();
      subscriber.next(event);
      if (ended) subscriber.complete();
    };
    const fail = (message: string, cause: FailureCause = 'connection') => {
      const ran = sent ? 'unknown' : 'no';
      if (!sent && request.reusedSocket) emit({ kind: 'unsent', message });
      else {
        emit({
          kind: 'failed', ran, cause, message,
        });
      }
      reader.destroy();
    };
    const sendRequest = () => {
      if (scheduler.now() >= expiresAt) {
        emit({ kind: 'unsent', message: 'the deadline passed before the request was sent' });
        request.destroy();
        return;
      }
      sent = true;
      emit({ kind: 'sent', reused: request.reusedSocket });
      request.end(outgoing.body);
    };
    const onConnected = () => {
      timers.unsubscribe();
      if (!request.reusedSocket) outgoing.agent.connectionOpened();
      // That the caller has left, or the server has closed the connection, may not be read yet.
      reading = afterNextPoll(sendRequest);
    };
    timers.add(afterPendingInput(CONNECT_TIMEOUT_MS, scheduler, () => (
      fail('the connection attempt timed out'))));
    const onError = (error: Error) => {
      // Bytes after a complete response belong to no request, and its end is yet to be read.
      if (!isComplete()) fail(error.message, causeOf(error));
    };
    request.on('error', onError);
    request.once('socket', (socket) => {
      socket.setNoDelay(true);
      // Before the parser, which would take them for the response to the request.
      socket.prependOnceListener('data', () => {
        if (!sent) fail('bytes came before the request was sent', 'response');
      });
      stopCounting = countBytes(socket, (length) => {
        if (isHeadRead) framedLength += length;
        else headLength += length;
        if (headLength > MAX_HEAD_BYTES) fail('the head of the response is too long', 'response');
      });
      if (socket.connecting) socket.once('connect', onConnected);
      else onConnected();
    });
    const onResponse = (response: IncomingMessage) => {
      const fault = headFault(response, outgoing.singleFields);
      if (fault !== undefined) {
        fail(`the head of the response can't be relied on: ${fault}`, 'response');
        return;
      }
      const { statusCode: status = 0, rawHeaders: headers } = response;
      const head: ReceivedHead = { status, headers, kept: request.reusedSocket };
      const owner = head.kept ? outgoing.ownerOf?.(head) ?? 'own' : 'own';
      if (owner !== 'own') outgoing.agent.markExtra(scheduler.now());
      if (owner === 'other' && canReadPast(reader, response)) {
        readPast(reader, response, (next) => {
          reader = next;
          reader.on('error', onError);
          reader.once('response', onResponse);
          if (ended) reader.destroy();
        }, fail);
        return;
      }
      // A server that has not read the whole body may parse the rest as the next request.
      if (!request.writableFinished) reader.shouldKeepAlive = false;
      outgoing.agent.setIdleTimeout(response.socket, response.headers['keep-alive']);
      isHeadRead = true;
      isComplete = () => response.complete;
      emit({ kind: 'head', ...head });
      const pieces = readResponse(response, outgoing.method, {
        chunk: (bytes) => {
          bodyLength += bytes.length;
          const arrivedLength = bodyLength + response.readableLength + pieces.joinedBytes;
          if (bodyLength > maxBodyBytes) fail('the body of the response is too long', 'response');
          else if (framedLength - arrivedLength
            > MAX_FRAMING_BYTES + MAX_FRAMING_SHARE * arrivedLength) {
            fail('the body of the response is in too small chunks', 'response');
          } else emit({ kind: 'piece', bytes });
        },
        end: () => emit({ kind: 'end' }),
        fail,
      });
      outgoing.onBody?.(pieces);
    };
    request.once('response', onResponse);
    return () => {
      timers.unsubscribe();
      reading.unsubscribe();
      stopCounting();
      if (!ended) reader.destroy();
      ended = true;
    };
  });
}

export interface BodyRequest extends Pick<
  OutgoingRequest, 'agent' | 'address' | 'target' | 'reuse'
> {
  readonly maxBodyBytes: number;
  readonly timeoutMs: number;
}

/** Sends a GET request; resolves to the body of the response, of which no header decides. */
export function fetchBody(
  { timeoutMs, ...request }: BodyRequest,
  scheduler: SchedulerLike,
): Promise<string> {
  return firstValueFrom(exchange({
    ...request,
    method: 'GET',
    headers: ['Host', request.address],
    body: Buffer.alloc(0),
    singleFields: new Set(),
  }, scheduler).pipe(
    reduce((body, event) => (
      event.kind === 'piece' ? body + event.bytes.toString('utf8') : body), ''),
    timeout({ first: timeoutMs, scheduler }),
  ));
}
