/** Programs that a measurement starts, on loopback, and ends, kills or pauses by their own pids. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { build } from 'esbuild';

const OUT = 'bench/out/programs';
const START_DEADLINE_MS = 20_000;
const REQUIRE = `import { createRequire } from 'node:module';
const require = createRequire(import.meta.url);`;

export type ProgramName = 'engine' | 'daemon' | 'objects';

/** Bundles the programs, so that each starts fast and holds only what it uses. */
export async function buildPrograms(): Promise<void> {
  await build({
    entryPoints: {
      engine: 'src/standin/enginemain.ts',
      daemon: 'bench/daemon.ts',
      objects: 'src/standin/objectmain.ts',
    },
    outdir: OUT,
    outExtension: { '.js': '.mjs' },
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    logLevel: 'warning',
    banner: { js: REQUIRE },
  });
}

/** One running program. */
export class Program {
  readonly name: ProgramName;

  /** `host:port` that it logged. */
  readonly address: string;

  readonly #child: ChildProcess;

  private constructor(name: ProgramName, address: string, child: ChildProcess) {
    this.name = name;
    this.address = address;
    this.#child = child;
  }

  /** Starts the program and waits for the address that it listens on. */
  static start(name: ProgramName, args: readonly string[]): Promise<Program> {
    const child = spawn(process.execPath, [`${OUT}/${name}.mjs`, ...args], {
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    return new Promise((resolve, reject) => {
      let output = '';
      const deadline = setTimeout(() => {
        child.kill('SIGKILL');
        reject(new Error(`${name} did not start: ${output}`));
      }, START_DEADLINE_MS);
      child.once('exit', () => reject(new Error(`${name} ended: ${output}`)));
      child.stdout.setEncoding('utf8');
      child.stdout.on('data', (chunk: string) => {
        if (output.length < 10_000) output += chunk;
        const address = /event=\w+_listening .*address=([\d.:]+)/.exec(output)?.[1];
        if (address === undefined) return;
        clearTimeout(deadline);
        resolve(new Program(name, address, child));
      });
    });
  }

  get pid(): number {
    return this.#child.pid!;
  }

  kill(): void {
    this.#child.kill('SIGKILL');
  }

  /** Freezes the program's process. */
  pause(): void {
    this.#child.kill('SIGSTOP');
  }

  wake(): void {
    this.#child.kill('SIGCONT');
  }
}
