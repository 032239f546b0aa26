/**
 * Collects a body without overhead for small pieces. Long bodies are collected in segments that are
 * used again: a body that is given up leaves no garbage, which the collector would free late.
 */

const MIN_BYTES = 4_096;
const SEGMENT_BYTES = 65_536;
/** Segments that are kept for the next bodies; some bodies of the largest size. */
const MAX_FREE_SEGMENTS = 64;

const freeSegments: Buffer[] = [];

function newSegment(): Buffer {
  return freeSegments.pop() ?? Buffer.allocUnsafeSlow(SEGMENT_BYTES);
}

export class ByteBuffer {
  /** All but the last are full. */
  #segments: Buffer[] = [];

  /** Bytes used of the last segment. */
  #used = 0;

  #length = 0;

  static of(): ByteBuffer {
    return new ByteBuffer();
  }

  get length(): number {
    return this.#length;
  }

  append(bytes: Buffer): void {
    let rest = bytes;
    while (rest.length > 0) {
      const segment = this.#roomFor(rest.length);
      const copied = rest.copy(segment, this.#used);
      this.#used += copied;
      this.#length += copied;
      rest = rest.subarray(copied);
    }
  }

  /** What was collected; the buffer is empty afterwards. */
  take(): Buffer {
    const whole = Buffer.allocUnsafeSlow(this.#length);
    let at = 0;
    this.#segments.forEach((segment) => {
      at += segment.copy(whole, at);
    });
    this.clear();
    return whole;
  }

  clear(): void {
    this.#segments.filter(({ length }) => length === SEGMENT_BYTES).forEach((segment) => {
      if (freeSegments.length < MAX_FREE_SEGMENTS) freeSegments.push(segment);
    });
    this.#segments = [];
    this.#used = 0;
    this.#length = 0;
  }

  /** The last segment, with room for some bytes at least. */
  #roomFor(bytes: number): Buffer {
    const last = this.#segments.at(-1);
    if (last && this.#used + bytes <= last.length) return last;
    if (last && this.#used < last.length && last.length === SEGMENT_BYTES) return last;
    const isShort = this.#length + bytes <= SEGMENT_BYTES;
    if (last && last.length < SEGMENT_BYTES) {
      // A short body moves to a larger buffer until it fills a segment.
      const needed = Math.max(this.#length + bytes, 2 * last.length);
      const larger = isShort
        ? Buffer.allocUnsafeSlow(Math.min(SEGMENT_BYTES, needed)) : newSegment();
      last.copy(larger, 0, 0, this.#used);
      this.#segments = [larger];
      return larger;
    }
    const segment = !last && isShort
      ? Buffer.allocUnsafeSlow(Math.min(SEGMENT_BYTES, Math.max(MIN_BYTES, bytes)))
      : newSegment();
    this.#segments.push(segment);
    this.#used = 0;
    return segment;
  }
}
