/**
 * HTTP client of the object API. It classifies failed writes by their possible effect: if the
 * connection was never established, the object is unchanged; once bytes of the write may have been
 * sent, only a valid answer tells whether it took effect, and without one it is `ambiguous`.
 */
import type { IncomingMessage } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { map, Observable, timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import { z } from 'zod';
import { readPieces } from '../common/pieces.js';
import {
  collect, MAX_ANSWER_CHARS, parseJson, StoreCalls,
} from './calls.js';
import type {
  Answer, Call, Headers, Failure,
} from './calls.js';
import type {
  CallClass, Precondition, Listing, ObjectApi, StoredObject, StoreError, WatchEvent,
} from './objects.js';

/** Limit on the time from sending a call to the end of its answer. */
const DEADLINE_MS = 1_000;

const objectSchema = z.object({
  name: z.string(), version: z.number().int().positive(), value: z.string(),
});
const listingSchema = z.object({
  version: z.number().int().min(0), objects: z.array(objectSchema),
});
const emptySchema = z.object({}).transform(() => undefined);
const eventSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('opened'), version: z.number().int().min(0) }),
  z.object({ kind: z.literal('put'), object: objectSchema }),
  z.object({ kind: z.literal('delete'), name: z.string(), version: z.number().int().positive() }),
]);
/** Error answers, all of which mean that the call had no effect. */
const refusalSchema = z.object({
  code: z.enum([
    'unavailable', 'conflict', 'not_found', 'too_large', 'rate_limited', 'version_too_old',
  ]),
  message: z.string(),
});

function storeErrorOf(call: Call, failure: Failure): StoreError {
  const code = call.method !== 'GET' && failure.sent ? 'ambiguous' : 'unavailable';
  return { code, message: `${call.method} ${call.path}: ${failure.message}` };
}

function readAnswer<Value>(
  call: Call,
  { status, text }: Answer,
  schema: z.ZodType<Value>,
): Result<Value, StoreError> {
  const body = parseJson(text);
  if (status === 200) {
    const value = schema.safeParse(body);
    if (value.success) return ok(value.data);
  }
  const refusal = refusalSchema.safeParse(body);
  if (status !== 200 && refusal.success) return err(refusal.data);
  return err(storeErrorOf(call, { sent: true, message: `invalid answer with status ${status}` }));
}

function preconditionHeaders(expected: Precondition): Headers {
  return expected.kind === 'absent'
    ? { 'if-none-match': '*' }
    : { 'if-match': String(expected.version) };
}

/** Splits a text stream into lines; completes and errors with the stream. */
function linesOf(response: IncomingMessage): Observable<string> {
  return new Observable((subscriber) => {
    let rest = '';
    response.setEncoding('utf8');
    readPieces<string>(response, (chunk) => {
      const lines = (rest + chunk).split('\n');
      rest = lines.pop() ?? '';
      if (rest.length > MAX_ANSWER_CHARS) subscriber.error(new Error('event exceeds the limit'));
      lines.forEach((line) => subscriber.next(line));
    });
    response.once('end', () => subscriber.complete());
    response.once('close', () => subscriber.error(new Error('connection closed')));
    response.once('error', (error) => subscriber.error(error));
  });
}

/** Parses the events of a watch; errors with a plain Error if the connection is lost. */
function eventsOf(response: IncomingMessage): Observable<WatchEvent> {
  return linesOf(response).pipe(map((line) => eventSchema.parse(parseJson(line))));
}

export class HttpObjects implements ObjectApi {
  readonly #calls: StoreCalls;

  readonly #scheduler: SchedulerLike;

  private constructor(address: string, scheduler: SchedulerLike) {
    this.#calls = StoreCalls.of(address, scheduler);
    this.#scheduler = scheduler;
  }

  /** @param address `host:port` of the object API; the host is an IP address */
  static of(address: string, scheduler: SchedulerLike): HttpObjects {
    return new HttpObjects(address, scheduler);
  }

  /** Closes the connections. */
  close(): void {
    this.#calls.close();
  }

  get(name: string, callClass: CallClass): Promise<Result<StoredObject, StoreError>> {
    const path = `/objects/${encodeURIComponent(name)}`;
    return this.#call({ method: 'GET', path, headers: { 'call-class': callClass } }, objectSchema);
  }

  list(prefix: string, callClass: CallClass): Promise<Result<Listing, StoreError>> {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
    return this.#call({ method: 'GET', path, headers: { 'call-class': callClass } }, listingSchema);
  }

  put(
    name: string,
    value: string,
    expected: Precondition,
    callClass: CallClass,
  ): Promise<Result<StoredObject, StoreError>> {
    return this.#call({
      method: 'PUT',
      path: `/objects/${encodeURIComponent(name)}`,
      headers: { 'call-class': callClass, ...preconditionHeaders(expected) },
      body: value,
    }, objectSchema);
  }

  remove(name: string, version: number, callClass: CallClass): Promise<Result<void, StoreError>> {
    return this.#call({
      method: 'DELETE',
      path: `/objects/${encodeURIComponent(name)}`,
      headers: { 'call-class': callClass, ...preconditionHeaders({ kind: 'version', version }) },
    }, emptySchema);
  }

  watch(prefix: string, from: number, callClass: CallClass): Observable<WatchEvent> {
    const path = `/watch?prefix=${encodeURIComponent(prefix)}&from=${from}`;
    const call: Call = { method: 'GET', path, headers: { 'call-class': callClass } };
    return new Observable((subscriber) => {
      const fail = (error: Error) => {
        subscriber.error(storeErrorOf(call, { sent: true, message: error.message }));
      };
      const refuse = (answer: Answer) => {
        readAnswer(call, answer, z.never()).mapErr((error) => subscriber.error(error));
      };
      const opening = timer(DEADLINE_MS, this.#scheduler)
        .subscribe(() => fail(new Error(`watch not opened within ${DEADLINE_MS} ms`)));
      const request = this.#calls.open(call);
      request.once('error', fail);
      request.once('response', (response) => {
        opening.unsubscribe();
        if (response.statusCode === 200) {
          const next = (event: WatchEvent) => subscriber.next(event);
          const complete = () => subscriber.complete();
          subscriber.add(eventsOf(response).subscribe({ next, error: fail, complete }));
        } else {
          collect(response).then(refuse, fail);
        }
      });
      request.end();
      return () => {
        opening.unsubscribe();
        request.destroy();
      };
    });
  }

  async #call<Value>(call: Call, schema: z.ZodType<Value>): Promise<Result<Value, StoreError>> {
    const answer = await this.#calls.send(call, DEADLINE_MS);
    return answer.match(
      (value) => readAnswer(call, value, schema),
      (failure) => err(storeErrorOf(call, failure)),
    );
  }
}
