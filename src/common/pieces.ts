/**
 * Reads a stream one piece in each turn of the event loop. What arrives meanwhile is joined, and
 * the connection is not read on, so that input which comes faster than it is handled, or in very
 * small parts, leaves time for other connections.
 */
import type { Readable } from 'node:stream';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { ByteBuffer } from './bytebuffer.js';

/** Chunks that wait as buffers of their own, each of which takes some hundred bytes. */
const MAX_SEPARATE_CHUNKS = 64;

export interface Pieces {
  /** Bytes that have arrived and are not counted by the stream yet. */
  readonly joinedBytes: number;
  /** While paused, nothing is read. */
  setPaused(isPaused: boolean): void;
}

/** Joins chunks that come faster than they are read, before the stream buffers them. */
function joinChunks(stream: Readable): ByteBuffer {
  const push = stream.push.bind(stream);
  const joined = ByteBuffer.of();
  let separateChunks = 0;
  let isScheduled = false;
  let hasEnded = false;
  const flush = () => {
    isScheduled = false;
    const bytes = joined.take();
    if (stream.destroyed) return;
    if (bytes.length > 0) push(bytes);
    if (hasEnded) push(null);
  };
  Object.assign(stream, {
    push: (chunk: Buffer | null): boolean => {
      if (stream.readableLength === 0) separateChunks = 0;
      separateChunks += 1;
      if (!isScheduled && (chunk === null || separateChunks <= MAX_SEPARATE_CHUNKS)) {
        return push(chunk);
      }
      if (chunk === null) hasEnded = true;
      else joined.append(chunk);
      if (!isScheduled) setImmediate(flush);
      isScheduled = true;
      // The connection is not read on until the stream asks for more.
      return false;
    },
  });
  return joined;
}

/** Calls `onPiece` with all that can be read, as a string if the stream has an encoding. */
export function readPieces<Piece extends Buffer | string = Buffer>(
  stream: Readable,
  onPiece: (piece: Piece) => void,
): Pieces {
  let hasTurn = true;
  let isPaused = false;
  let isReadable = false;
  const joined = joinChunks(stream);
  const read = () => {
    if (!hasTurn || isPaused || !isReadable) return;
    isReadable = false;
    const piece = stream.read() as Piece | null;
    if (piece === null) return;
    hasTurn = false;
    setImmediate(() => {
      hasTurn = true;
      read();
    });
    onPiece(piece);
  };
  stream.on('readable', () => {
    isReadable = true;
    read();
  });
  return {
    get joinedBytes() {
      return joined.length;
    },
    setPaused: (value) => {
      isPaused = value;
      read();
    },
  };
}

/** The same for a stream that is passed on. */
export async function* piecesOf(stream: Readable): AsyncGenerator<Buffer, void, undefined> {
  // eslint-disable-next-line no-restricted-syntax -- one piece after another
  for await (const piece of stream) {
    yield piece as Buffer;
    await nextTurn();
  }
}
