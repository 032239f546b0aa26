/** The load that one attempt of a stream puts on its engines while it lasts. */
import type { Assignment } from './assignment.js';
import type { AttemptPlan } from './attemptplan.js';
import type { Call } from './call.js';
import type { RelayContext } from './context.js';
import { requiredMemory } from './selection.js';
import type { RunDemand } from './selection.js';
import { NO_LOAD } from './serverstate.js';

export class AttemptLoad {
  readonly #memoryTokens: number;

  readonly #run: Assignment;

  readonly #standby: Assignment | undefined;

  readonly #room: (() => void) | undefined;

  readonly #rank: () => void;

  private constructor(call: Call, plan: AttemptPlan, demand: RunDemand, context: RelayContext) {
    const {
      fleet, uses, scheduler, waitingLines,
    } = context;
    const { server, standby, prefillTokens } = plan;
    const memoryTokens = requiredMemory(demand);
    this.#memoryTokens = memoryTokens;
    this.#run = fleet.assign(server.id, {
      ...NO_LOAD, running: 1, memoryTokens, prefillTokens,
    });
    this.#standby = standby
      && fleet.assign(standby.id, { ...NO_LOAD, standby: memoryTokens });
    const room = memoryTokens * (standby ? 2 : 1);
    this.#room = call.workspace && uses.take(server.service, call.workspace.name, room);
    const end = uses.ranks.take(server.service, call.priority, memoryTokens, scheduler.now());
    this.#rank = () => {
      end(scheduler.now());
      waitingLines.freed(server.service);
    };
  }

  static assign(
    call: Call,
    plan: AttemptPlan,
    demand: RunDemand,
    context: RelayContext,
  ): AttemptLoad {
    return new AttemptLoad(call, plan, demand, context);
  }

  /** The engine has prefilled the prompt. */
  prefilled(): void {
    this.#run.update({ ...NO_LOAD, running: 1, memoryTokens: this.#memoryTokens });
  }

  release(): void {
    this.#room?.();
    this.#rank();
    this.#run.release();
    this.#standby?.release();
  }
}
