/**
 * One daemon of the control measurements: the built program with a settings file of its own, ended
 * by its pid. Its log tells when a revision came into force and when the lease changed hands.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { sha256 } from '../src/common/hash.js';
import { connect } from '../src/cli/connection.js';
import type { Connection } from '../src/cli/connection.js';

const PROGRAM = 'dist/shallotshuntd.mjs';
const ADMINISTRATOR_KEY = 'bench-administrator-key';
const TICKS_PER_SECOND = 100;
const BYTES_PER_KIB = 1_024;

export interface DaemonSettings {
  readonly name: string;
  readonly zone: string;
  readonly callers: string;
  readonly peers: string;
  readonly administrators: string;
  readonly objects: string;
  readonly list: string;
}

/** What a process has used since it started. */
export interface Usage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  /** Bytes given to and taken from system calls that read and write, sockets' among them. */
  readonly readBytes: number;
  readonly writtenBytes: number;
}

/** A log line: its event, its fields, and when the measurement read it. */
export interface Line {
  readonly at: number;
  readonly event: string;
  readonly fields: ReadonlyMap<string, string>;
}

function lineOf(text: string): Line {
  const fields = new Map([...text.matchAll(/(\w+)=("(?:[^"\\]|\\.)*"|\S+)/g)]
    .map(([, key = '', value = '']) => [key, value] as const));
  return { at: performance.now(), event: fields.get('event') ?? '', fields };
}

function settingsText(settings: DaemonSettings): string {
  return `name = "${settings.name}"
zone = "${settings.zone}"
[listen]
callers = "${settings.callers}"
peers = "${settings.peers}"
administrators = "${settings.administrators}"
[platform]
objects = "${settings.objects}"
instances = "http://${settings.list}/instances"
[keys]
peers = "bench-peers-key-00000"
cursors = "bench-cursors-key-000"
[[keys.administrators]]
name = "bench"
key_hash = "${sha256(ADMINISTRATOR_KEY)}"
[stop]
balancer_lag = "0s"
limit = "10s"
`;
}

/** What the process with this pid has used; read from /proc. */
export function usageOf(pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const [user = 0, system = 0] = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
    .slice(11, 13).map(Number);
  const field = (file: string, key: string) => (
    Number(new RegExp(`^${key}:\\s+(\\d+)`, 'm').exec(readFileSync(`/proc/${pid}/${file}`, 'utf8'))
      ?.[1] ?? Number.NaN));
  return {
    cpuSeconds: (user + system) / TICKS_PER_SECOND,
    residentBytes: field('status', 'VmRSS') * BYTES_PER_KIB,
    readBytes: field('io', 'rchar'),
    writtenBytes: field('io', 'wchar'),
  };
}

export class ControlDaemon {
  readonly settings: DaemonSettings;

  readonly connection: Connection;

  /** Revisions in the order in which they came into force, over all starts. */
  readonly revisions: number[] = [];

  readonly #file: string;

  readonly #flags: readonly string[];

  readonly #listeners = new Set<(line: Line) => void>();

  #child: ChildProcess | undefined;

  private constructor(settings: DaemonSettings, directory: string, flags: readonly string[]) {
    this.settings = settings;
    this.#file = join(directory, `${settings.name}.toml`);
    this.#flags = flags;
    const values = { daemon: settings.administrators, key: ADMINISTRATOR_KEY };
    this.connection = connect({ values, environment: {} }).match(
      (connection) => connection,
      (reason) => {
        throw new Error(reason);
      },
    );
    writeFileSync(this.#file, settingsText(settings));
  }

  /** @param flags of Node.js */
  static of(
    settings: DaemonSettings,
    directory: string,
    flags: readonly string[] = [],
  ): ControlDaemon {
    return new ControlDaemon(settings, directory, flags);
  }

  get pid(): number | undefined {
    return this.#child?.pid;
  }

  start(): void {
    const child = spawn(
      process.execPath,
      [...this.#flags, PROGRAM, '--settings', this.#file],
      { stdio: ['ignore', 'pipe', 'ignore'] },
    );
    this.#child = child;
    child.once('exit', () => {
      if (this.#child === child) this.#child = undefined;
    });
    createInterface({ input: child.stdout }).on('line', (text) => this.#hear(lineOf(text)));
  }

  /** Sends the signal and resolves once the process has ended. */
  end(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    const child = this.#child;
    if (!child) return Promise.resolve();
    return new Promise((resolve) => {
      child.once('exit', () => resolve());
      child.kill(signal);
    });
  }

  /** Resolves with the next log line that `wanted` accepts; rejects after `deadlineMs`. */
  next(wanted: (line: Line) => boolean, deadlineMs: number): Promise<Line> {
    return new Promise((resolve, reject) => {
      const listener = (line: Line) => {
        if (!wanted(line)) return;
        this.#listeners.delete(listener);
        resolve(line);
      };
      this.#listeners.add(listener);
      setTimeout(() => {
        if (!this.#listeners.delete(listener)) return;
        reject(new Error(`${this.settings.name}: nothing within ${deadlineMs} ms`));
      }, deadlineMs).unref();
    });
  }

  /** When a revision of at least `revision` came into force; at once if one is. */
  async inForce(revision: number, deadlineMs: number): Promise<number> {
    if ((this.revisions.at(-1) ?? 0) >= revision) return performance.now();
    const reached = ({ event, fields }: Line) => (
      event === 'configuration' && Number(fields.get('revision')) >= revision);
    return (await this.next(reached, deadlineMs)).at;
  }

  #hear(line: Line): void {
    if (line.event === 'configuration') this.revisions.push(Number(line.fields.get('revision')));
    [...this.#listeners].forEach((listener) => listener(line));
  }
}
