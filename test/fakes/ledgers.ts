/** Three claim ledgers on one store, with faults on the links between them. */
import type { ClaimRequest } from '../../src/claims/claims.js';
import { ClaimLedger } from '../../src/claims/ledger.js';
import type { Operation } from '../../src/claims/shard.js';
import { Random } from '../../src/common/random.js';
import { memoryObjects } from './objects.js';

export const NAMES = ['a', 'b', 'c'];

/** Faults on the links between instances. */
export interface LinkFaults {
  /** Instances that can't be reached. */
  readonly unreachable: readonly string[];
  /** Homes that commit operations while their answers are lost. */
  readonly losingAnswers: readonly string[];
  readonly delayMs: number;
}

/** Starts the ledgers of three instances on one store. */
export function startLedgers(seed = 1, members: (name: string) => readonly string[] = () => NAMES) {
  const { clock, objects } = memoryObjects(seed);
  let linkFaults: LinkFaults = { unreachable: [], losingAnswers: [], delayMs: 0 };
  const ledgers = new Map<string, ClaimLedger>();
  const wait = (ms: number) => new Promise<void>((resolve) => {
    clock.schedule(() => resolve(), ms);
  });
  const peers = {
    forward: async (home: string, operation: Operation) => {
      const { unreachable, losingAnswers, delayMs } = linkFaults;
      if (unreachable.includes(home)) throw new Error('dead');
      if (delayMs > 0) await wait(delayMs);
      const outcome = await ledgers.get(home)!.commitForwarded(operation);
      if (losingAnswers.includes(home)) throw new Error('lost');
      return outcome;
    },
    disown: async (owner: string, request: string) => {
      if (linkFaults.unreachable.includes(owner)) throw new Error('dead');
      return ledgers.get(owner)!.disown(request);
    },
  };
  NAMES.forEach((name, index) => {
    ledgers.set(name, ClaimLedger.of({
      name,
      api: objects,
      peers,
      members: () => [...members(name)],
      scheduler: clock,
      random: Random.of(seed * 10 + index),
      wallClock: () => clock.now(),
    }));
  });
  let requests = 0;
  const claim = (name: string, key: string, bodyHash = 'b') => {
    requests += 1;
    const request: ClaimRequest = {
      workspace: 'w', key, bodyHash, request: `r${requests}`,
    };
    return ledgers.get(name)!.claim(request);
  };
  const run = async <Value>(work: Promise<Value>, durationMs = 2_000): Promise<Value> => {
    await clock.advance(durationMs);
    return work;
  };
  return {
    clock,
    objects,
    ledgers,
    claim,
    run,
    setLinkFaults: (next: Partial<LinkFaults>) => {
      linkFaults = { ...linkFaults, ...next };
    },
  };
}
