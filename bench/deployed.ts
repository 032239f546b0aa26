/** A site that runs: its engines and daemons as processes, and what the engines have done. */
import { request } from 'node:http';
import { text as readText } from 'node:stream/consumers';
import type { Configuration } from '../src/configuration/configuration.js';
import { Program } from './fleet.js';
import type { Baseline } from './baseline.js';
import { configurationOf } from './site.js';
import type { EngineAddress, Group, Site } from './site.js';

export interface EngineWork {
  readonly streamSteps: number;
  readonly prefillTokens: number;
  readonly running: readonly string[];
}

/** What a daemon of a measurement is started with. */
export interface DaemonSetup {
  readonly name: string;
  readonly baseline: Baseline;
  /** Silence that `fixed_timeout` waits for. */
  readonly timeoutMs?: number;
  readonly configuration: Configuration;
}

interface EngineProgram extends EngineAddress { program: Program }

export function getJson(address: string, path: string): Promise<unknown> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const req = request({
      host, port, path, agent: false,
    }, (res) => {
      readText(res).then((body) => resolve(JSON.parse(body)), reject);
    });
    req.on('error', reject);
    req.end();
  });
}

/** Does `work` for each item after the one before. */
export function inTurn<Item, Value>(
  items: readonly Item[],
  work: (item: Item) => Promise<Value>,
): Promise<readonly Value[]> {
  return items.reduce<Promise<readonly Value[]>>(async (before, item) => (
    [...await before, await work(item)]), Promise.resolve([]));
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function startEngine(site: Site, name: string, group: Group, port = 0): Promise<Program> {
  return Program.start('engine', [
    '--listen', `127.0.0.1:${port}`, '--name', name, '--step-ms', String(site.stepMs),
    '--model', `${group.model}@1`, '--slots', String(group.slots ?? 64),
  ]);
}

function startDaemon(setup: DaemonSetup): Promise<Program> {
  return Program.start('daemon', [JSON.stringify(setup)]);
}

export class Deployed {
  readonly site: Site;

  readonly engines: readonly EngineProgram[];

  readonly daemons: readonly Program[];

  /** Work of engines that were killed since. */
  readonly #lost: EngineWork[] = [];

  private constructor(
    site: Site,
    engines: readonly EngineProgram[],
    daemons: readonly Program[],
  ) {
    this.site = site;
    this.engines = engines;
    this.daemons = daemons;
  }

  static async start(site: Site, baseline: Baseline, timeoutMs = 1_000): Promise<Deployed> {
    const engines = await Promise.all(site.groups.flatMap((group) => (
      Array.from({ length: group.engines }, async (_, index) => {
        const name = `${group.model}-${index}`;
        const program = await startEngine(site, name, group);
        return {
          name, group, program, address: program.address,
        };
      }))));
    const configuration = configurationOf(site, engines);
    const daemons = await Promise.all(Array.from({ length: site.daemons }, (_, index) => (
      startDaemon({
        name: `daemon-${index}`, baseline, timeoutMs, configuration,
      })
    )));
    await sleep(1_500);
    return new Deployed(site, engines, daemons);
  }

  static async work(engine: EngineProgram): Promise<EngineWork> {
    return await getJson(engine.address, '/control/work') as EngineWork;
  }

  /** Kills the engine and starts another at its address after `downMs`. */
  async crash(engine: EngineProgram, downMs: number): Promise<readonly string[]> {
    const target = engine;
    const work = await Deployed.work(engine);
    engine.program.kill();
    this.#lost.push(work);
    setTimeout(() => {
      const port = Number(engine.address.split(':')[1]);
      startEngine(this.site, engine.name, engine.group, port).then((program) => {
        target.program = program;
      }, () => undefined);
    }, downMs);
    return work.running;
  }

  /** Engine steps and uncached prompt tokens of the whole run. */
  async totalWork(): Promise<Omit<EngineWork, 'running'>> {
    const live = await Promise.all(this.engines.map((engine) => (
      Deployed.work(engine).catch(() => undefined))));
    const all = [...live.flatMap((work) => (work ? [work] : [])), ...this.#lost];
    return {
      streamSteps: all.reduce((sum, work) => sum + work.streamSteps, 0),
      prefillTokens: all.reduce((sum, work) => sum + work.prefillTokens, 0),
    };
  }

  async stop(): Promise<void> {
    // An engine that is being started again comes up first.
    await sleep(200);
    [...this.daemons, ...this.engines.map(({ program }) => program)]
      .forEach((program) => program.kill());
  }
}
