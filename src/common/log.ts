/**
 * Structured logging: one line of key=value pairs for each event. Values with spaces, quotes or
 * equals signs are quoted as JSON strings. Secrets must not be logged: callers log the names of
 * keys, never keys.
 */
import { createConsola } from 'consola/basic';
import type { ConsolaInstance, LogType } from 'consola/basic';
import { LogWriter } from './logwriter.js';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export type LogValue = string | number | boolean | undefined | readonly (string | number)[];

export type LogFields = Readonly<Record<string, LogValue>>;

/** Destination of log events; tests pass one that collects them. */
export interface Log {
  /** @param event a lower-case name with underscores, such as `route` or `lease_taken` */
  event(level: LogLevel, event: string, fields?: LogFields): void;
}

const LEVELS: Readonly<Record<LogLevel, number>> = {
  error: 0, warn: 1, info: 3, debug: 4,
};

const UNQUOTED = /^[^\s"=]+$/;

function formatValue(value: Exclude<LogValue, undefined>): string {
  const text = Array.isArray(value) ? value.join(',') : String(value);
  return UNQUOTED.test(text) ? text : JSON.stringify(text);
}

/** Formats fields as key=value pairs, without those that are undefined. */
export function formatFields(fields: LogFields): string {
  return Object.entries(fields)
    .flatMap(([key, value]) => (value === undefined ? [] : [`${key}=${formatValue(value)}`]))
    .join(' ');
}

export function formatEvent(event: string, fields: LogFields): string {
  return formatFields({ event, ...fields });
}

/** Formats a log line, without its newline. */
function formatLine(level: LogLevel, event: string, fields: LogFields, time: Date): string {
  return `time=${time.toISOString()} level=${level} ${formatEvent(event, fields)}`;
}

const STDOUT = 1;

/** Writes log lines to standard output through consola, without ever blocking on its reader. */
export class ConsoleLog implements Log {
  readonly #consola: ConsolaInstance;

  readonly #commonFields: LogFields;

  readonly #writer: LogWriter;

  private constructor(level: LogLevel, commonFields: LogFields) {
    this.#commonFields = commonFields;
    this.#writer = LogWriter.of(STDOUT, (count) => (
      formatLine('warn', 'log_lines_left_out', { ...commonFields, count }, new Date())));
    this.#consola = createConsola({
      level: LEVELS[level],
      // Any other value would delay repeated lines.
      throttle: 0,
      reporters: [{ log: (entry) => this.#writer.append(String(entry.args[0])) }],
    });
  }

  /** @param commonFields fields added to every line, such as the instance's name */
  static of(level: LogLevel, commonFields: LogFields = {}): ConsoleLog {
    return new ConsoleLog(level, commonFields);
  }

  /** Number of lines dropped since the start because the reader was too slow. */
  get droppedLines(): number {
    return this.#writer.droppedLines;
  }

  event(level: LogLevel, event: string, fields: LogFields = {}): void {
    if (this.#consola.level < LEVELS[level]) return;
    const type: LogType = level;
    this.#consola[type](formatLine(level, event, { ...this.#commonFields, ...fields }, new Date()));
  }

  /** Calls `done` once all lines logged so far are written. */
  whenFlushed(done: () => void): void {
    this.#writer.whenFlushed(done);
  }
}

/** Discards every event. */
export const silentLog: Log = { event: () => undefined };
