/** Ends the process once its log is written, without waiting for a reader that has stopped. */
import type { ConsoleLog } from './log.js';

/** A part of the time that is left at the limit of a stop. */
const LOG_FLUSH_MS = 50;

/** Lines that can't be written in time are lost. */
export function endProcess(log: ConsoleLog, code: number): void {
  const end = () => process.exit(code);
  setTimeout(end, LOG_FLUSH_MS);
  log.whenFlushed(end);
}
