/** Runs the relay program as a process of its own, as the platform does, with its settings file. */
import { execFile, execFileSync, spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import {
  closeSync, constants, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, writeSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { getStaticTOMLValue, parseTOML } from 'toml-eslint-parser';
import { eventually } from './eventually.js';
import { RawConnection } from './rawconnection.js';

const PIPE_PART = Buffer.alloc(4_096, '.');

/** Where the instances of a deployment listen, each at an IP address of its own. */
export interface Ports {
  readonly callers: number;
  readonly readiness: number;
  readonly peers: number;
  readonly metrics: number;
}

export interface InstanceSettings {
  readonly name: string;
  readonly ip: string;
  readonly seeds: readonly string[];
  readonly store: string;
  readonly ports: Ports;
  readonly graceS: number;
  /** Whether standard output is a pipe that is full and that nobody reads. */
  readonly isOutputFull: boolean;
  /** Further lines of the settings file. */
  readonly extraLines?: readonly string[] | undefined;
}

export interface Exit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  readonly at: number;
}

const folder = mkdtempSync(join(tmpdir(), 'relay-process-'));
process.once('exit', () => rmSync(folder, { recursive: true, force: true }));
let build: Promise<unknown> | undefined;

interface DeployFile { readonly roles: { readonly relay: { readonly run: string } } }

/** Node's flags as the program is deployed: what stands between `node` and the program. */
function deployedFlags(): readonly string[] {
  const file = parseTOML(readFileSync('deploy/system.toml', 'utf8'));
  const { roles: { relay: { run } } } = getStaticTOMLValue(file) as unknown as DeployFile;
  return run.split(' ').slice(1, -1);
}

/** Builds the program as it is deployed, once. */
function buildProgram(): Promise<unknown> {
  build ??= promisify(execFile)(process.execPath, [
    'scripts/build.mjs', '--platform', '--outdir', folder,
  ]);
  return build;
}

function settingsText({
  name, ip, seeds, store, ports, graceS, extraLines = [],
}: InstanceSettings): string {
  return `NodeName=${name}
Zone=a
Ip=${ip}
Listen.Front=${ip}:${ports.callers}
Listen.Ready=${ip}:${ports.readiness}
PortRange=${ports.peers},${ports.metrics}
Seeds=${seeds.map((seed) => `${seed}:1`).join(',')}
HeartbeatMs=1000
Bounds.GraceS=${graceS}
Bounds.RetryBudgetRatio=1
Bounds.BudgetSlack=1000
Platform.Address=${store}
${extraLines.map((line) => `${line}\n`).join('')}`;
}

/** The writing end of a full pipe, and how to remove it. */
function fullPipe(path: string): { readonly output: number; readonly remove: () => void } {
  execFileSync('mkfifo', [path]);
  const { O_RDWR, O_NONBLOCK, O_WRONLY } = constants;
  // eslint-disable-next-line no-bitwise -- flags
  const filler = openSync(path, O_RDWR | O_NONBLOCK);
  try {
    for (;;) writeSync(filler, PIPE_PART);
  } catch {
    // The pipe is full.
  }
  const output = openSync(path, O_WRONLY);
  return { output, remove: () => [filler, output].forEach((fd) => closeSync(fd)) };
}

export class RelayProcess {
  readonly settings: InstanceSettings;

  /** The lines that it has logged. */
  readonly lines: string[] = [];

  /** Resolves when the process has ended. */
  readonly exited: Promise<Exit>;

  exit: Exit | undefined;

  readonly #child: ChildProcess;

  private constructor(settings: InstanceSettings, child: ChildProcess, closeOutput: () => void) {
    this.settings = settings;
    this.#child = child;
    [child.stdout, child.stderr].forEach((stream) => this.#collect(stream));
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        closeOutput();
        this.exit = { code, signal, at: performance.now() };
        resolve(this.exit);
      });
    });
  }

  static async start(settings: InstanceSettings): Promise<RelayProcess> {
    await buildProgram();
    const file = join(folder, `${settings.name}-${process.hrtime.bigint()}`);
    writeFileSync(`${file}.conf`, settingsText(settings));
    const pipe = settings.isOutputFull
      ? fullPipe(`${file}.out`) : { output: 'pipe' as const, remove: () => undefined };
    const child = spawn(process.execPath, [
      ...deployedFlags(), join(folder, 'shallotshuntd.mjs'),
    ], {
      env: { SHALLOTSHUNT_SETTINGS: `${file}.conf` }, stdio: ['ignore', pipe.output, 'pipe'],
    });
    return new RelayProcess(settings, child, pipe.remove);
  }

  get pid(): number {
    return this.#child.pid!;
  }

  /** Resolves to whether it has become ready; false if it ends before. */
  async untilReady(): Promise<boolean> {
    const settled = await eventually(async () => this.exit !== undefined || await this.isReady());
    return settled && this.exit === undefined;
  }

  async isReady(): Promise<boolean> {
    const { ip, ports } = this.settings;
    try {
      return (await fetch(`http://${ip}:${ports.readiness}/ready`)).ok;
    } catch {
      return false;
    }
  }

  /** Resolves once it accepts no connections any more. */
  untilClosed(): Promise<boolean> {
    return eventually(async () => {
      try {
        (await this.connect()).close();
        return false;
      } catch {
        return true;
      }
    });
  }

  connect(): Promise<RawConnection> {
    return RawConnection.open(this.settings.ip, this.settings.ports.callers);
  }

  signal(signal: NodeJS.Signals): void {
    if (!this.exit) this.#child.kill(signal);
  }

  /** The lines about a request, or all lines if none is given. */
  linesOf(request = ''): readonly string[] {
    return this.lines.filter((line) => line.includes(request));
  }

  #collect(stream: NodeJS.ReadableStream | null): void {
    let rest = '';
    stream?.setEncoding('utf8');
    stream?.on('data', (text: string) => {
      const parts = `${rest}${text}`.split('\n');
      rest = parts.pop()!;
      this.lines.push(...parts);
    });
  }
}
