/**
 * Writes log lines to a file descriptor without ever waiting for its reader. One write is on its
 * way at a time and what comes meanwhile is gathered; past a bound whole lines are left out, and a
 * line that says how many follows when there is room again.
 */
import { write } from 'node:fs';

/** Some thousand lines: what a busy instance logs in a second or two. */
const MAX_BUFFERED_BYTES = 512 * 1024;
const RETRY_MS = 20;

type Write = (bytes: Buffer, done: (error: NodeJS.ErrnoException | null, count: number) => void)
=> void;

export class LogWriter {
  readonly #write: Write;

  /** The line that tells how many lines were left out. */
  readonly #formatDropped: (count: number) => string;

  #buffer: string[] = [];

  #bufferedBytes = 0;

  #writing = false;

  #unreportedDrops = 0;

  #droppedLines = 0;

  #flushCallbacks: (() => void)[] = [];

  private constructor(target: Write, formatDropped: (count: number) => string) {
    this.#write = target;
    this.#formatDropped = formatDropped;
  }

  /** @param formatDropped the line, without its end, that tells how many lines were left out */
  static of(target: number | Write, formatDropped: (count: number) => string): LogWriter {
    const writeTo: Write = typeof target === 'number'
      ? (bytes, done) => write(target, bytes, 0, bytes.length, null, done)
      : target;
    return new LogWriter(writeTo, formatDropped);
  }

  /** Lines left out since the start. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  /** @param line without its line end */
  append(line: string): void {
    if (this.#bufferedBytes + line.length > MAX_BUFFERED_BYTES) {
      this.#unreportedDrops += 1;
      this.#droppedLines += 1;
      return;
    }
    this.#buffer.push(line);
    this.#bufferedBytes += line.length + 1;
    if (!this.#writing) this.#writeBuffer();
  }

  /** Calls `done` once everything taken so far is written. */
  whenFlushed(done: () => void): void {
    if (this.#writing) this.#flushCallbacks.push(done);
    else done();
  }

  #writeBuffer(): void {
    if (this.#unreportedDrops > 0) {
      this.#buffer.push(this.#formatDropped(this.#unreportedDrops));
      this.#unreportedDrops = 0;
    }
    if (this.#buffer.length === 0) {
      const callbacks = this.#flushCallbacks;
      this.#flushCallbacks = [];
      callbacks.forEach((done) => done());
      return;
    }
    const bytes = Buffer.from(`${this.#buffer.join('\n')}\n`);
    this.#buffer = [];
    this.#bufferedBytes = 0;
    this.#writing = true;
    this.#writeAll(bytes);
  }

  #writeAll(bytes: Buffer): void {
    this.#write(bytes, (error, count) => {
      const remaining = error ? bytes : bytes.subarray(count);
      if (error?.code === 'EAGAIN') {
        setTimeout(() => this.#writeAll(bytes), RETRY_MS);
        return;
      }
      // A descriptor that was closed takes no lines any more; there is nowhere to tell it.
      if (!error && remaining.length > 0) {
        this.#writeAll(remaining);
        return;
      }
      this.#writing = false;
      this.#writeBuffer();
    });
  }
}
