/** Plays a plan: starts the deployment, its clients and its faults, and judges what was seen. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Random } from '../../src/common/random.js';
import { ProcessDeployment } from '../fakes/processdeployment.js';
import type { RelayProcess } from '../fakes/relayprocess.js';
import { runClient } from './client.js';
import type { Outcome } from './client.js';
import { Judge, overlap } from './judge.js';
import type { Finding, Incarnation } from './judge.js';
import {
  ENGINES, GRACE_MS, LAST_STOP_MS, planOf, TRAFFIC_MS,
} from './plan.js';
import type { ClientPlan, Fault, Plan } from './plan.js';

const SEED_FACTOR = 0x9e37_79b1;
const LAG_CHECK_MS = 20;
/** A process that is still there then won't end by itself; one that ends late is judged so. */
const KILL_AFTER_MS = GRACE_MS + 2_000;
const LOG_LINES = 12;

export interface Report {
  readonly seed: number;
  readonly requests: number;
  readonly whole: number;
  readonly refused: number;
  /** Requests that were given to another instance. */
  readonly forwarded: number;
  /** Processes that were started. */
  readonly processes: number;
  readonly lagMs: number;
  /** Each with what the instances logged of its request. */
  readonly findings: readonly string[];
}

/** Kills a process that hasn't ended after the grace period, which doesn't count its freezes. */
function killLater(incarnation: Incarnation): void {
  const { process, stoppedAt, frozen } = incarnation;
  const frozenMs = overlap(frozen, stoppedAt, Infinity);
  setTimeout(() => {
    if (process.exit) return;
    if (overlap(frozen, stoppedAt, Infinity) > frozenMs) {
      killLater(incarnation);
      return;
    }
    Object.assign(incarnation, { wasKilled: true });
    process.signal('SIGKILL');
  }, stoppedAt + KILL_AFTER_MS + frozenMs - performance.now());
}

function signal(incarnation: Incarnation, name: NodeJS.Signals): void {
  const { process, stoppedAt } = incarnation;
  if (name !== 'SIGHUP' && stoppedAt === Infinity && !process.exit) {
    Object.assign(incarnation, { stoppedAt: performance.now() });
    killLater(incarnation);
  }
  process.signal(name);
}

async function noteReady(incarnation: Incarnation): Promise<void> {
  const wasReady = await incarnation.process.untilReady();
  Object.assign(incarnation, { wasReady });
}

export class Scenario {
  readonly #plan: Plan;

  readonly #deployment: ProcessDeployment;

  readonly #incarnations = new Map<RelayProcess, Incarnation>();

  readonly #beganAt = performance.now();

  #isOver = false;

  #lagMs = 0;

  private constructor(plan: Plan, deployment: ProcessDeployment) {
    this.#plan = plan;
    this.#deployment = deployment;
  }

  static async run(seed: number): Promise<Report> {
    // Neighbouring seeds would begin with similar numbers.
    const plan = planOf(Random.of(Math.imul(seed, SEED_FACTOR)));
    const deployment = await ProcessDeployment.of({
      instances: plan.instances, engines: ENGINES, graceS: GRACE_MS / 1_000,
    });
    try {
      const scenario = new Scenario(plan, deployment);
      return await scenario.#run(seed);
    } finally {
      deployment.close();
    }
  }

  async #run(seed: number): Promise<Report> {
    const slots = Array.from({ length: this.#plan.instances }, (_, index) => index);
    const first = await Promise.all(slots.map((index) => this.#start(index)));
    await Promise.all(first.map(noteReady));
    if (!first.every(({ wasReady }) => wasReady)) throw new Error('an instance is not ready');
    const lag = this.#watchLag();
    const restarts = slots.map((index) => this.#restart(index));
    const faults = this.#plan.faults.map(async (fault) => {
      await sleep(fault.at);
      await this.#cause(fault);
    });
    const silences = this.#plan.silences.map(async ({ at, engine, ms }) => {
      await sleep(at);
      this.#deployment.silence(engine, ms);
    });
    const [outcomes] = await Promise.all([
      Promise.all(this.#plan.clients.map((client) => this.#client(client))),
      this.#stopAll(slots),
      ...faults,
      ...silences,
    ]);
    await Promise.all(restarts);
    clearInterval(lag);
    return this.#report(seed, outcomes.flat());
  }

  async #start(index: number): Promise<Incarnation> {
    const process = await this.#deployment.start(index, index === this.#plan.fullOutput);
    const incarnation: Incarnation = {
      process, stoppedAt: Infinity, wasReady: false, frozen: [], cuts: [], wasKilled: false,
    };
    this.#incarnations.set(process, incarnation);
    return incarnation;
  }

  #current(index: number): Incarnation {
    return this.#incarnations.get(this.#deployment.instances[index]!)!;
  }

  /** Starts an instance again whenever it has ended, until the end of the run. */
  async #restart(index: number): Promise<void> {
    const { afterMs, stopAfterMs } = this.#plan.restarts[index]!;
    let early = stopAfterMs;
    for (;;) {
      // eslint-disable-next-line no-await-in-loop -- one process after another
      await this.#deployment.instances[index]!.exited;
      // eslint-disable-next-line no-await-in-loop -- one process after another
      await sleep(afterMs);
      if (this.#isOver) return;
      // eslint-disable-next-line no-await-in-loop -- one process after another
      const incarnation = await this.#start(index);
      if (this.#isOver) signal(incarnation, 'SIGTERM');
      else if (early === undefined) {
        noteReady(incarnation).catch(() => undefined);
      } else {
        // eslint-disable-next-line no-await-in-loop -- one process after another
        await sleep(early);
        signal(incarnation, 'SIGTERM');
        early = undefined;
      }
    }
  }

  async #stopAll(slots: readonly number[]): Promise<void> {
    await sleep(LAST_STOP_MS);
    this.#isOver = true;
    slots.forEach((index) => signal(this.#current(index), 'SIGTERM'));
    await sleep(TRAFFIC_MS - LAST_STOP_MS);
  }

  async #cause(fault: Fault): Promise<void> {
    switch (fault.kind) {
      case 'signal':
        signal(this.#current(fault.instance), fault.signal);
        break;
      case 'freeze': {
        const { process, frozen } = this.#current(fault.instance);
        const from = performance.now();
        frozen.push({ from, to: from + fault.ms });
        process.signal('SIGSTOP');
        await sleep(fault.ms);
        process.signal('SIGCONT');
        break;
      }
      case 'cut': {
        const { cuts } = this.#current(fault.instance);
        const from = performance.now();
        // What the instance learnt of it holds for some time.
        cuts.push({ from, to: from + fault.ms + 1_000 });
        this.#deployment.cut(fault.instance);
        await sleep(fault.ms);
        await this.#deployment.heal(fault.instance);
        break;
      }
      case 'outage':
        this.#deployment.store.setOutage(true);
        await sleep(fault.ms);
        this.#deployment.store.setOutage(false);
        break;
      case 'configuration':
        await this.#deployment.configure();
        break;
    }
  }

  async #client(client: ClientPlan): Promise<Outcome[]> {
    await sleep(client.at);
    return runClient(client, this.#deployment.instances[client.instance]!);
  }

  /** Notes how late this process is, which the relay isn't to be blamed for. */
  #watchLag(): NodeJS.Timeout {
    let last = performance.now();
    return setInterval(() => {
      const now = performance.now();
      this.#lagMs = Math.max(this.#lagMs, now - last - LAG_CHECK_MS);
      last = now;
    }, LAG_CHECK_MS);
  }

  #describe({ what, request, detail }: Finding, seed: number): string {
    const lines = request === undefined ? [] : [...this.#incarnations.keys()]
      .flatMap((process) => process.linesOf(`request=${request} `)).sort();
    const logged = lines.slice(0, LOG_LINES).map((line) => `\n  ${line}`).join('');
    return `seed ${seed}: ${what}\n  ${detail}${logged}`;
  }

  #report(seed: number, outcomes: readonly Outcome[]): Report {
    const { record } = this.#deployment;
    const findings = Judge.findings(outcomes, record, this.#incarnations, this.#lagMs);
    const answers = outcomes.flatMap(({ answer }) => (answer ? [answer] : []));
    return {
      seed,
      requests: outcomes.length,
      whole: answers.filter(({ whole, status }) => whole && status === 200).length,
      refused: answers.filter(({ whole, status }) => whole && status === 503).length,
      forwarded: [...this.#incarnations.keys()]
        .flatMap((process) => process.linesOf('event=forward ')).length,
      processes: this.#incarnations.size,
      lagMs: Math.round(this.#lagMs),
      findings: findings.map((finding) => this.#describe(finding, seed)),
    };
  }
}
