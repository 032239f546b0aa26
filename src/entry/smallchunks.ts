/**
 * Joins the chunks of a request's body before they are buffered. Node gives a stream each chunk as
 * a buffer of its own, some hundred bytes for a chunk of one, and a single read of the connection
 * yields thousands of them. Connections that send many take turns, one in each turn of the event
 * loop, so that the others are served meanwhile.
 */
import type { IncomingMessage } from 'node:http';
import { ByteBuffer } from '../common/bytebuffer.js';

/** Chunks in one turn of the event loop beyond which a connection waits for its next turn. */
const MAX_CHUNKS_PER_TURN = 64;
/** What is joined before the connection is not read on. */
const MAX_JOINED_BYTES = 65_536;
/** Chunks of any size that a body may have, and the mean size that further ones need. */
const FREE_CHUNKS = 8_192;
const MIN_MEAN_CHUNK_BYTES = 8;

interface Counts { chunks: number; bytes: number }

const counts = new WeakMap<IncomingMessage, Counts>();

/** Connections that wait for their turn. */
const waiting: (() => void)[] = [];

function nextTurn(): void {
  waiting.shift()?.();
  if (waiting.length > 0) setImmediate(nextTurn);
}

function takeTurn(listener: () => void): void {
  waiting.push(listener);
  if (waiting.length === 1) setImmediate(nextTurn);
}

/**
 * Whether a body comes in so many small chunks that reading it on isn't worth its work, while other
 * connections wait for their turns. Alone it is served: its chunks are allowed.
 */
export function hasTooSmallChunks(req: IncomingMessage): boolean {
  const { chunks = 0, bytes = 0 } = counts.get(req) ?? {};
  return waiting.length > 0 && chunks > FREE_CHUNKS + bytes / MIN_MEAN_CHUNK_BYTES;
}

/**
 * Must be called before any of the body is read.
 *
 * @param onMany called in each turn in which many chunks come
 */
export function joinSmallChunks(req: IncomingMessage, onMany = () => {}): void {
  if (req.headers['transfer-encoding'] === undefined) return;
  const count: Counts = { chunks: 0, bytes: 0 };
  counts.set(req, count);
  const joined = ByteBuffer.of();
  const push = req.push.bind(req);
  let isScheduled = false;
  let hasEnded = false;
  let chunksInTurn = 0;
  const flush = () => {
    isScheduled = false;
    chunksInTurn = 0;
    if (req.destroyed) return;
    if (joined.length > 0) push(joined.take());
    if (hasEnded) push(null);
  };
  const schedule = () => {
    if (isScheduled) return;
    isScheduled = true;
    // Callbacks of `process.nextTick` run after each chunk that the parser reports.
    setImmediate(() => {
      if (chunksInTurn > MAX_CHUNKS_PER_TURN) takeTurn(flush);
      else flush();
    });
  };
  Object.assign(req, {
    push: (chunk: Buffer | null): boolean => {
      if (chunk === null) hasEnded = true;
      else {
        joined.append(chunk);
        count.chunks += 1;
        count.bytes += chunk.length;
        chunksInTurn += 1;
        if (chunksInTurn === MAX_CHUNKS_PER_TURN + 1) onMany();
      }
      schedule();
      return chunksInTurn <= MAX_CHUNKS_PER_TURN && joined.length < MAX_JOINED_BYTES;
    },
  });
}
