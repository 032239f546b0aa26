/** What the relay may hold for others: the memory budget and the limit on connections. */
import type { ServerResponse } from 'node:http';
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import { breakOff } from '../entry/closedelimited.js';
import type { CallerServer } from '../entry/httpserver.js';
import { UnreadAnswer } from '../entry/unread.js';
import { MemoryBudget } from '../memory/budget.js';
import { Collections } from '../memory/collections.js';
import { defaultBudgetBytes, defaultMaxConnections } from '../memory/machine.js';
import type { Call } from './call.js';
import type { RelaySettings } from './settings.js';

export interface MemoryLimits {
  readonly budget: MemoryBudget;
  readonly collections: Collections;
  /** Connections that were closed for a newer one, or since too many requests were sent ahead. */
  readonly refusedConnections: number;
  limitConnections(server: CallerServer): void;
  /** Accounts for what the caller has not read of the answer. */
  unread(res: ServerResponse, call: Call): UnreadAnswer;
}

export function createMemory(
  {
    memoryBytes, descriptors, memoryBudgetBytes, maxConnections,
  }: RelaySettings,
  { scheduler, log }: { readonly scheduler: SchedulerLike; readonly log: Log },
): MemoryLimits {
  const budget = MemoryBudget.of(memoryBudgetBytes ?? defaultBudgetBytes(memoryBytes));
  const connections = maxConnections ?? defaultMaxConnections(descriptors);
  log.event('info', 'memory_limits', { budget_bytes: budget.capacity, connections });
  let refusedConnections = 0;
  return {
    budget,
    collections: Collections.of(budget, scheduler),
    get refusedConnections() {
      return refusedConnections;
    },
    limitConnections: (server) => server.limitConnections(connections, (reason) => {
      refusedConnections += 1;
      log.event('warn', 'connection_refused', { reason, limit: connections });
    }),
    unread: (res, { id, workspace, route }) => UnreadAnswer.of(res, {
      budget,
      scheduler,
      isKnown: workspace !== undefined,
      isStream: route.delivery === 'events',
      onEvicted: (unreadBytes) => {
        log.event('warn', 'answer_unread', {
          request: id, bytes: unreadBytes, held: budget.held, budget_bytes: budget.capacity,
        });
        breakOff(res);
      },
    }),
  };
}
