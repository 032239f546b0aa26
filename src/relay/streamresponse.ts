/**
 * States what a server may answer to an attempt of a stream. Only a signed 200 whose body is a
 * series of whole events, which go on at the position that was asked for, begins or continues a
 * stream, and only its orderly end completes one. An end without any event is believed if a second
 * server ends the stream there too: nothing is left of a stream that broke off after its last
 * event. While the caller has nothing of the stream, a signed answer that is no success is passed
 * on as it is. Everything else is a failed attempt.
 */
import { promisesNotRun } from '../common/refusal.js';
import { bufferedResponse } from './bufferedattempt.js';
import type { BufferedResponse, ResponseHead } from './call.js';
import type { RawHeaders } from './dialect.js';
import { EventSplitter } from './eventsplitter.js';
import type { ResponseClass } from './responseclass.js';
import { FIRST_EVENT_ID } from './serverrequest.js';

/** What the attempt asked for. */
export interface ExpectedStream {
  readonly method: string;
  /** Position of the first event. */
  readonly from: number;
  /** Whether the caller has events of the stream, from this request or one before. */
  readonly hasBegun: boolean;
  /** Where another server has ended the stream without an event; undefined if none has. */
  readonly emptyEndAt: number | undefined;
}

export interface StreamFailure {
  readonly kind: 'failed';
  readonly ran: 'no' | 'unknown';
  readonly message: string;
}

export type StreamPart =
  | { readonly kind: 'event'; readonly position: number; readonly text: string }
  | StreamFailure;

/**
 * `answer`: no stream, but the whole answer to the request. `refusal`: a failure that is reported
 * once its body has been read, so that the connection can be reused.
 */
type Reading =
  | { readonly kind: 'events' }
  | { readonly kind: 'answer'; readonly head: ResponseHead }
  | { readonly kind: 'refusal'; readonly failure: StreamFailure }
  | StreamFailure;

const OK = 200;
const FIRST_REDIRECT = 300;
const EVENT_STREAM = 'text/event-stream';
/** Comments of some bytes, a few a second for many minutes, beside as much as the events hold. */
const MAX_COMMENT_LENGTH = 131_072;
/** The rest of a longer body that holds no events is not waited for. */
const MAX_BODY_BYTES = 65_536;

function headerOf(raw: RawHeaders, name: string): string | undefined {
  const index = raw.findIndex((text, at) => at % 2 === 0 && text.toLowerCase() === name);
  return index < 0 ? undefined : raw[index + 1];
}

/** Servers may leave the type out. */
function isEventStream(headers: RawHeaders): boolean {
  const type = headerOf(headers, 'content-type');
  return type === undefined || type.replace(/;.*$/s, '').trim().toLowerCase() === EVENT_STREAM;
}

function failure(message: string, ran: StreamFailure['ran'] = 'unknown'): StreamFailure {
  return { kind: 'failed', ran, message };
}

function readSignedHead(head: ResponseHead, { method, hasBegun }: ExpectedStream): Reading {
  const { status, headers } = head;
  const isAnswer = status >= FIRST_REDIRECT || (status === OK && method === 'HEAD');
  if (isAnswer && !hasBegun && !promisesNotRun(status)) return { kind: 'answer', head };
  if (status !== OK) return failure(`the server answered ${status} to a stream`);
  return isEventStream(headers)
    ? { kind: 'events' } : failure('the response is not a stream of events');
}

function readHead(
  head: ResponseHead,
  responseClass: ResponseClass,
  expected: ExpectedStream,
): Reading {
  switch (responseClass.kind) {
    case 'not_run': return { kind: 'refusal', failure: failure(responseClass.message, 'no') };
    case 'failed': return { kind: 'refusal', failure: failure(responseClass.message) };
    case 'foreign': return failure(responseClass.message);
    case 'answer': return readSignedHead(head, expected);
  }
}

export class StreamResponse {
  readonly #reading: Reading;

  readonly #expected: ExpectedStream;

  readonly #splitter = EventSplitter.of();

  #position: number;

  /** The body, if it holds no events. */
  readonly #chunks: Buffer[] = [];

  #length = 0;

  /** Length of all events so far. */
  #eventLength = 0;

  private constructor(reading: Reading, expected: ExpectedStream) {
    this.#reading = reading;
    this.#expected = expected;
    this.#position = expected.from;
  }

  static of(
    head: ResponseHead,
    responseClass: ResponseClass,
    expected: ExpectedStream,
  ): StreamResponse {
    return new StreamResponse(readHead(head, responseClass, expected), expected);
  }

  get isStream(): boolean {
    return this.#reading.kind === 'events';
  }

  /** Why nothing of the response is read after its head; undefined if it is read. */
  get headFailure(): StreamFailure | undefined {
    return this.#reading.kind === 'failed' ? this.#reading : undefined;
  }

  /** Position after the last event. */
  get position(): number {
    return this.#position;
  }

  /** The whole answer, if it is no stream. */
  get answer(): BufferedResponse | undefined {
    return this.#reading.kind === 'answer'
      ? bufferedResponse(this.#reading.head, this.#chunks) : undefined;
  }

  /** Adds bytes of the body and returns the events that they complete. */
  push(bytes: Buffer): readonly StreamPart[] {
    switch (this.#reading.kind) {
      case 'events': return this.#pushEvents(bytes);
      case 'failed': return [this.#reading];
      case 'refusal': return this.#collect(bytes, this.#reading.failure);
      case 'answer': return this.#collect(bytes, failure('the answer is too long'));
    }
  }

  /** Why the response is not complete although it has ended in order; undefined if it is. */
  get endFailure(): StreamFailure | undefined {
    switch (this.#reading.kind) {
      case 'failed': return this.#reading;
      case 'refusal': return this.#reading.failure;
      case 'answer': return undefined;
      case 'events': return this.#streamEndFailure;
    }
  }

  /** Whether the response is a stream that has ended in order without an event. */
  get isEmptyEnd(): boolean {
    return this.isStream && this.#position === this.#expected.from
      && !this.#splitter.hasPartialEvent;
  }

  get #streamEndFailure(): StreamFailure | undefined {
    if (this.#splitter.hasPartialEvent) {
      return failure('the stream ended in the middle of an event');
    }
    return this.isEmptyEnd && this.#expected.emptyEndAt !== this.#position
      ? failure('the stream ended without an event') : undefined;
  }

  #collect(bytes: Buffer, excess: StreamFailure): readonly StreamPart[] {
    this.#length += bytes.length;
    this.#chunks.push(bytes);
    return this.#length > MAX_BODY_BYTES ? [excess] : [];
  }

  /** Nothing follows a failure. */
  #pushEvents(bytes: Buffer): readonly StreamPart[] {
    const parts: StreamPart[] = [];
    // eslint-disable-next-line no-restricted-syntax -- the first failure ends it
    for (const { id, text, isWellFormed } of this.#splitter.push(bytes)) {
      if (id === undefined) return [...parts, failure('an event of the stream has no id')];
      if (!isWellFormed) return [...parts, failure('an event has lines that are not its own')];
      const due = this.#position + FIRST_EVENT_ID;
      if (id !== due) return [...parts, failure(`event ${id} came in place of event ${due}`)];
      parts.push({ kind: 'event', position: this.#position, text });
      this.#position += 1;
      this.#eventLength += text.length;
    }
    if (this.#splitter.isOverlong) return [...parts, failure('an event of the stream is too long')];
    return this.#splitter.commentLength > MAX_COMMENT_LENGTH + this.#eventLength
      ? [...parts, failure('the stream holds too much beside its events')] : parts;
  }
}
