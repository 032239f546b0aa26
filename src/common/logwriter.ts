/**
 * Writes log lines to a file descriptor without ever waiting for its reader. One write is on its
 * way at a time and what comes meanwhile is gathered; past a bound whole lines are left out, and a
 * line that says how many follows when there is room again.
 */
import { write } from 'node:fs';

/** Some thousand lines: what a busy instance logs in a second or two. */
const MAX_WAITING_BYTES = 512 * 1024;
const RETRY_MS = 20;

type Write = (bytes: Buffer, done: (error: NodeJS.ErrnoException | null, count: number) => void)
=> void;

export class LogWriter {
  readonly #write: Write;

  /** The line that tells how many lines were left out. */
  readonly #leftOutLine: (count: number) => string;

  #waiting: string[] = [];

  #waitingBytes = 0;

  #writing = false;

  #leftOut = 0;

  #leftOutInAll = 0;

  #idle: (() => void)[] = [];

  private constructor(target: Write, leftOutLine: (count: number) => string) {
    this.#write = target;
    this.#leftOutLine = leftOutLine;
  }

  /** @param leftOutLine the line, without its end, that tells how many lines were left out */
  static of(target: number | Write, leftOutLine: (count: number) => string): LogWriter {
    const writeTo: Write = typeof target === 'number'
      ? (bytes, done) => write(target, bytes, 0, bytes.length, null, done)
      : target;
    return new LogWriter(writeTo, leftOutLine);
  }

  /** Lines left out since the start. */
  get leftOut(): number {
    return this.#leftOutInAll;
  }

  /** @param line without its line end */
  line(line: string): void {
    if (this.#waitingBytes + line.length > MAX_WAITING_BYTES) {
      this.#leftOut += 1;
      this.#leftOutInAll += 1;
      return;
    }
    this.#waiting.push(line);
    this.#waitingBytes += line.length + 1;
    if (!this.#writing) this.#next();
  }

  /** Calls `done` once everything taken so far is written. */
  flushed(done: () => void): void {
    if (this.#writing) this.#idle.push(done);
    else done();
  }

  #next(): void {
    if (this.#leftOut > 0) {
      this.#waiting.push(this.#leftOutLine(this.#leftOut));
      this.#leftOut = 0;
    }
    if (this.#waiting.length === 0) {
      const idle = this.#idle;
      this.#idle = [];
      idle.forEach((done) => done());
      return;
    }
    const bytes = Buffer.from(`${this.#waiting.join('\n')}\n`);
    this.#waiting = [];
    this.#waitingBytes = 0;
    this.#writing = true;
    this.#send(bytes);
  }

  #send(bytes: Buffer): void {
    this.#write(bytes, (error, count) => {
      const rest = error ? bytes : bytes.subarray(count);
      if (error?.code === 'EAGAIN') {
        setTimeout(() => this.#send(bytes), RETRY_MS);
        return;
      }
      // A descriptor that was closed takes no lines any more; there is nowhere to tell it.
      if (!error && rest.length > 0) {
        this.#send(rest);
        return;
      }
      this.#writing = false;
      this.#next();
    });
  }
}
