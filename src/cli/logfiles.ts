/** Reads log files of any size line by line and counts the lines that can't be parsed. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { readLogLine } from './logline.js';
import type { LogLine } from './logline.js';

export interface ReadCounts {
  readonly lines: number;
  /** Lines that are truncated or in another format. */
  readonly unreadable: number;
}

/** File name that denotes standard input. */
export const STANDARD_INPUT = '-';

async function readLines(input: Readable, onLine: (line: LogLine) => void): Promise<ReadCounts> {
  let lines = 0;
  let unreadable = 0;
  // eslint-disable-next-line no-restricted-syntax -- lines arrive asynchronously
  for await (const text of createInterface({ input, crlfDelay: Infinity })) {
    lines += 1;
    const line = readLogLine(text);
    if (line) onLine(line);
    else unreadable += 1;
  }
  return { lines, unreadable };
}

/** Reads the files in sequence; the error names the file that can't be read. */
export async function readLogs(
  files: readonly string[],
  standardInput: Readable,
  onLine: (line: LogLine) => void,
): Promise<Result<ReadCounts, string>> {
  let total: ReadCounts = { lines: 0, unreadable: 0 };
  /* eslint-disable no-await-in-loop, no-restricted-syntax -- one file after the other */
  for (const file of files) {
    const input = file === STANDARD_INPUT ? standardInput : createReadStream(file);
    try {
      const { lines, unreadable } = await readLines(input, onLine);
      total = { lines: total.lines + lines, unreadable: total.unreadable + unreadable };
    } catch (error) {
      return err(`${file} can't be read: ${String(error)}`);
    }
  }
  /* eslint-enable no-await-in-loop, no-restricted-syntax */
  return ok(total);
}
