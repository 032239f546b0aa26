/** Sends a client's requests in its style and notes what it saw of the answers. */
import { setTimeout as sleep } from 'node:timers/promises';
import { emptyRequest, requestHead } from '../fakes/processdeployment.js';
import { RawConnection } from '../fakes/rawconnection.js';
import type { RawAnswer } from '../fakes/rawconnection.js';
import type { RelayProcess } from '../fakes/relayprocess.js';
import type { ClientPlan, RequestPlan } from './plan.js';

const CHUNK = '5\r\nhello\r\n';
const LAST_CHUNK = '0\r\n\r\n';
const CHUNKS = 4;
const SLOW_READ_MS = 20;
/** What is read at once. */
const READ_BYTES = 65_536;
/** An answer that takes longer counts as none. */
const ANSWER_TIMEOUT_MS = 25_000;

/** What a client saw of one request. */
export interface Outcome {
  readonly request: RequestPlan;
  readonly client: ClientPlan;
  readonly process: RelayProcess;
  /** When its last byte was sent; Infinity if the connection was closed before. */
  readonly sentAt: number;
  /** Undefined if neither an answer nor the end of the connection came in time. */
  readonly answer: RawAnswer | undefined;
  /** Until when the client can't have read the whole answer. */
  readonly pausedUntil: number;
  readonly error: string | undefined;
  readonly strayBytes: number;
}

/** Sends the request by the client's style; resolves to when its last byte was sent. */
async function send(
  connection: RawConnection,
  { style, delayMs }: ClientPlan,
  { id, target }: RequestPlan,
): Promise<number> {
  const request = emptyRequest(id, target);
  let last = request;
  switch (style) {
    case 'late':
      await sleep(delayMs);
      break;
    case 'half_head':
      connection.send(request.slice(0, request.length / 2));
      await sleep(delayMs);
      last = request.slice(request.length / 2);
      break;
    case 'chunks':
      connection.send(requestHead(id, target, { 'Transfer-Encoding': 'chunked' }));
      for (let chunk = 0; chunk < CHUNKS; chunk += 1) {
        connection.send(CHUNK);
        // eslint-disable-next-line no-await-in-loop -- one chunk after another
        await sleep(delayMs / CHUNKS);
      }
      last = LAST_CHUNK;
      break;
    case 'kept':
    case 'paused_reader':
    case 'slow_reader':
      break;
  }
  if (!connection.isOpen) return Infinity;
  connection.send(last);
  return performance.now();
}

/** Reads in the client's style; returns until when it can't have read the whole answer. */
function startReading(
  connection: RawConnection,
  { style, delayMs, requests }: ClientPlan,
): number {
  if (style === 'slow_reader') {
    connection.readSlowly(SLOW_READ_MS);
    return performance.now() + (requests[0]!.size / READ_BYTES) * SLOW_READ_MS;
  }
  if (style !== 'paused_reader') return 0;
  connection.pause();
  setTimeout(() => connection.resume(), delayMs);
  return performance.now() + delayMs;
}

/** Runs a client until its last request or the end of its connection. */
export async function runClient(client: ClientPlan, process: RelayProcess): Promise<Outcome[]> {
  const connection = await process.connect().catch(() => undefined);
  if (!connection) return [];
  const outcomes: Outcome[] = [];
  const pausedUntil = startReading(connection, client);
  for (let index = 0; index < client.requests.length && connection.isOpen; index += 1) {
    const request = client.requests[index]!;
    const answered = connection.answer();
    // eslint-disable-next-line no-await-in-loop -- one request after another
    const sentAt = await send(connection, client, request);
    const timeout = new AbortController();
    // eslint-disable-next-line no-await-in-loop -- one request after another
    const answer = await Promise.race([
      answered, sleep(ANSWER_TIMEOUT_MS, undefined, { signal: timeout.signal }),
    ]);
    timeout.abort();
    const { error, strayBytes } = connection;
    outcomes.push({
      request, client, process, sentAt, answer, pausedUntil, error, strayBytes,
    });
    if (!answer?.whole || answer.headers.get('connection') === 'close') break;
    // eslint-disable-next-line no-await-in-loop -- one request after another
    await sleep(client.delayMs);
  }
  connection.close();
  return outcomes;
}
