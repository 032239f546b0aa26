/**
 * Reads a stream one piece in each turn of the event loop. What arrives meanwhile is joined, and
 * the connection is not read on, so that input which comes faster than it is handled, or in very
 * small parts, leaves time for other connections.
 */
import type { Readable } from 'node:stream';
import { setImmediate as nextTurn } from 'node:timers/promises';

export interface Pieces {
  /** While paused, nothing is read. */
  setPaused(isPaused: boolean): void;
}

/** Calls `onPiece` with all that can be read, as a string if the stream has an encoding. */
export function readPieces<Piece extends Buffer | string = Buffer>(
  stream: Readable,
  onPiece: (piece: Piece) => void,
): Pieces {
  let hasTurn = true;
  let isPaused = false;
  let isReadable = false;
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
