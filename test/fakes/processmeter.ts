/** What a process on loopback needs of its machine, read from the system's files about it. */
import { readFileSync, readdirSync } from 'node:fs';

const POLL_MS = 25;
const BYTES_PER_KILOBYTE = 1_024;
const BYTES_PER_MEGABYTE = 1_048_576;

function kilobytes(pid: number, field: string): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(new RegExp(`^${field}:\\s+(\\d+) kB$`, 'm').exec(status)?.[1] ?? 0);
}

/** The most memory that a process has had resident, in megabytes. */
export function peakMegabytes(pid: number): number {
  return Math.round(kilobytes(pid, 'VmHWM') / BYTES_PER_KILOBYTE);
}

export function openDescriptors(pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length;
}

/** Bytes that have arrived on connections to a port and are not read yet. */
function unreadBytes(port: number): number {
  const suffix = `:${port.toString(16).toUpperCase().padStart(4, '0')}`;
  return readFileSync('/proc/net/tcp', 'latin1').split('\n').slice(1)
    .map((line) => line.trim().split(/\s+/))
    .filter(([, local = '']) => local.endsWith(suffix))
    .reduce((sum, fields) => sum + Number.parseInt(fields[4]?.split(':')[1] ?? '0', 16), 0);
}

/** Follows a process until it is stopped, and keeps the highest readings. */
export class ProcessMeter {
  readonly #pid: number;

  readonly #port: number;

  readonly #timer: NodeJS.Timeout;

  #megabytes = 0;

  #descriptors = 0;

  private constructor(pid: number, port: number) {
    this.#pid = pid;
    this.#port = port;
    this.#timer = setInterval(() => this.#read(), POLL_MS);
  }

  /** @param port on which the process accepts connections */
  static start(pid: number, port: number): ProcessMeter {
    return new ProcessMeter(pid, port);
  }

  /** Resident memory and what has arrived unread, at the same moment. */
  get megabytes(): number {
    this.#read();
    return Math.round(this.#megabytes);
  }

  get descriptors(): number {
    return this.#descriptors;
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #read(): void {
    try {
      const resident = kilobytes(this.#pid, 'VmRSS') * BYTES_PER_KILOBYTE;
      const megabytes = (resident + unreadBytes(this.#port)) / BYTES_PER_MEGABYTE;
      this.#megabytes = Math.max(this.#megabytes, megabytes, peakMegabytes(this.#pid));
      this.#descriptors = Math.max(this.#descriptors, openDescriptors(this.#pid));
    } catch {
      // The process has ended.
      this.stop();
    }
  }
}
