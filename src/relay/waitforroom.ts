/** Chooses the engines of a stream, for which a new one may wait a short time. */
import type { Call } from './call.js';
import { guarded } from './context.js';
import type { Caller, RelayContext } from './context.js';
import { chooseEngines } from './enginechoice.js';
import type { AttemptDemand, EngineChoice, Unplaced } from './enginechoice.js';
import type { EngineCapacity } from './routes.js';
import { PREFILL_TOKENS_PER_MS, requiredMemory } from './selection.js';

export interface ChoiceListener {
  chosen(choice: Extract<EngineChoice, { kind: 'chosen' }>): void;
  unplaced(choice: Unplaced): void;
}

/** Tells the listener of the choice, once; the returned function ends a wait. */
export function waitForRoom(
  call: Call,
  caller: Caller,
  demand: AttemptDemand,
  engine: EngineCapacity,
  context: RelayContext,
  listener: ChoiceListener,
): () => void {
  const {
    waitingLines, uses, scheduler, log, meter,
  } = context;
  const service = call.service.name;
  /** Returns how to refuse the call if there is no room yet. */
  const choose = (hasWaited: boolean): (() => void) | undefined => {
    const choice = chooseEngines(call, demand, engine, context);
    const record = (outcome: 'placed' | 'refused') => {
      if (hasWaited) meter.record({ kind: 'room_wait', outcome });
    };
    switch (choice.kind) {
      case 'full':
        return () => {
          record('refused');
          listener.unplaced(choice.refuse());
        };
      case 'unplaced':
        record('refused');
        listener.unplaced(choice);
        return undefined;
      case 'chosen':
        record('placed');
        listener.chosen(choice);
        return undefined;
    }
  };
  const refuse = choose(false);
  if (!refuse) return () => {};
  const now = scheduler.now();
  const joined = waitingLines.join(service, {
    rank: call.priority,
    tokens: requiredMemory(demand.run),
    receivedAt: call.receivedAt,
    objectiveMs: call.route.objectiveMs,
    firstEventMs: demand.run.promptTokens / PREFILL_TOKENS_PER_MS,
    freedTokensPerMs: uses.ranks.freedTokensPerMs(service, now),
  }, {
    tryNow: () => {
      let isPlaced = true;
      guarded(caller, () => {
        isPlaced = choose(true) === undefined;
      })();
      return isPlaced;
    },
    giveUp: guarded(caller, () => choose(true)?.()),
  });
  if (!joined) {
    refuse();
    return () => {};
  }
  log.event('info', 'waits_for_room', {
    request: call.id, service, rank: call.priority, wait_ms: Math.round(joined.wait.leaveAt - now),
  });
  return joined.leave;
}
