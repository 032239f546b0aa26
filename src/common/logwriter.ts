/**
 * Writes log lines to a file descriptor without ever blocking on its reader. Lines that arrive
 * during a write are buffered. When the buffer is full, whole lines are dropped, and a line with
 * their number is written once there is space again.
 */
import { fstatSync, write } from 'node:fs';
import { Socket } from 'node:net';

/** Some thousand lines, which a busy instance logs in a second or two. */
const MAX_BUFFERED_BYTES = 512 * 1024;
const RETRY_MS = 20;

type Write = (bytes: Buffer, done: (error: NodeJS.ErrnoException | null, count: number) => void)
=> void;

/**
 * Writes to a descriptor. A pipe or socket is made non-blocking: a thread that waits for its reader
 * in a blocking write would keep the process from ending.
 */
function writeTo(descriptor: number): Write {
  const stat = fstatSync(descriptor);
  if (!stat.isFIFO() && !stat.isSocket()) {
    return (bytes, done) => write(descriptor, bytes, 0, bytes.length, null, done);
  }
  const socket = new Socket({ fd: descriptor, readable: false, writable: true });
  // Each write reports its error; without a listener one would end the process.
  socket.on('error', () => undefined);
  socket.unref();
  return (bytes, done) => {
    socket.write(bytes, (error) => done(error ?? null, bytes.length));
  };
}

export class LogWriter {
  readonly #write: Write;

  /** Formats the line that reports the number of dropped lines. */
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

  /** @param formatDropped formats the report of dropped lines, without its newline */
  static of(target: number | Write, formatDropped: (count: number) => string): LogWriter {
    return new LogWriter(typeof target === 'number' ? writeTo(target) : target, formatDropped);
  }

  /** Number of lines dropped since the start. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  /** @param line a line without its newline */
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

  /** Calls `done` once all lines appended so far are written. */
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
      // Lines for a closed descriptor are lost; there is nowhere to report it.
      if (!error && remaining.length > 0) {
        this.#writeAll(remaining);
        return;
      }
      this.#writing = false;
      this.#writeBuffer();
    });
  }
}
