/**
 * Tells where a request would go now, and why, by the code that chooses servers, without sending
 * it. What a choice would change, such as the times at which refused callers come back, isn't.
 */
import { z } from 'zod';
import type { Call } from './call.js';
import type { RelayContext } from './context.js';
import { chooseEngines } from './enginechoice.js';
import { Meter } from './meter.js';
import { RetrySchedules } from './retryafter.js';
import type { RelayRoute, RouteTable } from './routes.js';
import {
  areAllThrottled, firstEventMs, hasCapacity, selectServer,
} from './selection.js';
import type { Candidate, RunDemand } from './selection.js';
import type { ServerState } from './serverstate.js';
import { isUsable } from './serverstate.js';

const MAX_TOKENS = 100_000_000;
const TOKENS = z.coerce.number().int().min(0).max(MAX_TOKENS)
  .default(0);

/** The request that is asked about, as the query of a URL names it. */
export const WHERE_QUERY = z.object({
  route: z.string(),
  workspace: z.string().optional(),
  prompt: TOKENS,
  output: TOKENS,
});

export type WhereQuery = z.infer<typeof WHERE_QUERY>;

const COUNT = z.number();

const SERVER = z.object({
  server: z.string(),
  zone: z.string(),
  /** Why it gets no requests at all; undefined if it may. */
  unusable: z.string().optional(),
  running: COUNT,
  slots: COUNT,
  prefillTokens: COUNT,
  memoryTokens: COUNT,
  factor: COUNT,
  limit: COUNT,
  /** Time until its rate limit admits a request; null if that isn't in sight. */
  delayMs: COUNT.nullable(),
  /** Whether an engine has a slot and memory for the run. */
  hasCapacity: z.boolean().optional(),
  expectedFirstMs: COUNT.optional(),
  meanMs: COUNT.optional(),
});

export const WHERE_ANSWER = z.object({
  instanceZone: z.string(),
  configuration: COUNT,
  route: z.string(),
  service: z.string(),
  workspace: z.string().optional(),
  /** Undefined if the request would be refused. */
  server: z.string().optional(),
  standby: z.string().optional(),
  /** Why it would be refused. */
  reason: z.string().optional(),
  inputs: z.record(z.string(), z.unknown()),
  servers: z.array(SERVER),
});

export type WhereAnswer = z.infer<typeof WHERE_ANSWER>;

export interface WhereContext extends RelayContext {
  readonly routes: () => RouteTable | undefined;
}

type Choice = Pick<WhereAnswer, 'server' | 'standby' | 'reason' | 'inputs'>;

/** A context in which a choice has no effects. */
function withoutEffects(context: RelayContext): RelayContext {
  const { throttles, uses } = context;
  const { ranks } = uses;
  return {
    ...context,
    // The asked request is no demand of its rank.
    uses: Object.create(uses, {
      share: { value: uses.share.bind(uses) },
      ranks: {
        value: Object.create(ranks, {
          arrived: { value: () => undefined },
          reserve: { value: ranks.reserve.bind(ranks) },
        }) as typeof ranks,
      },
    }) as typeof uses,
    meter: Meter.of(),
    retrySchedules: RetrySchedules.of(),
    // A turn is reserved for each refused caller.
    throttles: Object.create(throttles, {
      fields: { value: throttles.fields.bind(throttles) },
      retryAfterMs: { value: () => 0 },
    }) as typeof throttles,
  };
}

function callOf(query: WhereQuery, route: RelayRoute, table: RouteTable, now: number): Call {
  const { configuration } = table;
  const workspace = configuration.workspaces?.find(({ name }) => name === query.workspace);
  // With several targets, that with the largest weight.
  const [target] = [...route.targets].sort((left, right) => right.weight - left.weight);
  const name = target?.service ?? '';
  return {
    id: 'where',
    method: 'POST',
    target: route.prefix,
    headers: [],
    fields: {
      id: 'where',
      key: undefined,
      deadlineMs: undefined,
      lastEvent: undefined,
      resumes: undefined,
      model: undefined,
      promptTokens: query.prompt,
      outputTokens: query.output,
      parts: [],
    },
    body: Buffer.alloc(0),
    route,
    service: configuration.services[name] ?? { name, engine: undefined, healthPath: undefined },
    workspace,
    priority: workspace?.priority ?? route.priority,
    receivedAt: now,
    deadlineAt: now + route.timeoutMs,
    version: configuration.version,
    forwardedBy: undefined,
  };
}

function chooseEngine(call: Call, run: RunDemand, context: RelayContext): Choice {
  const choice = chooseEngines(call, {
    run, exclude: [], copyHolder: undefined, release: undefined, isNew: true,
  }, call.service.engine!, context);
  switch (choice.kind) {
    case 'chosen': {
      const { server, standby, expectedFirstMs } = choice.plan;
      return {
        server: server.id,
        standby: standby?.id,
        inputs: { expected_ms: Math.round(expectedFirstMs), candidates: choice.candidates },
      };
    }
    case 'unplaced': return { reason: choice.message, inputs: choice.inputs };
    case 'full': {
      const { message, inputs } = choice.refuse();
      return { reason: message, inputs };
    }
  }
}

function choosePlain(
  candidates: readonly Candidate[],
  { zone, scheduler }: RelayContext,
): Choice {
  const chosen = selectServer(candidates, zone, scheduler.now());
  const inputs = { candidates: candidates.length };
  if (chosen) return { server: chosen.server.entry.id, inputs };
  const reason = areAllThrottled(candidates)
    ? 'every backend server is at the rate limit that it names' : 'no backend server is up';
  return { reason, inputs };
}

function unusableReason(state: ServerState): string {
  if (state.entry.state === 'leaving') return 'leaving';
  return state.health.kind === 'suspect' ? state.health.reason : 'gone';
}

function serverFields(
  { entry, ownLoad, meanDurationMs }: ServerState,
  candidate: Candidate | undefined,
): z.infer<typeof SERVER> {
  const load = candidate?.load ?? ownLoad;
  return {
    server: entry.id,
    zone: entry.zone,
    running: load.running,
    slots: entry.slots,
    prefillTokens: Math.round(load.prefillTokens),
    memoryTokens: Math.round(load.memoryTokens + load.standby),
    factor: candidate?.pace?.factor ?? 1,
    limit: candidate?.pace?.limit ?? entry.slots,
    delayMs: candidate && !Number.isFinite(candidate.delayMs) ? null : candidate?.delayMs ?? 0,
    meanMs: Math.round(meanDurationMs),
  };
}

/** Undefined if there is no such route, or no configuration yet. */
export function whereTo(query: WhereQuery, context: WhereContext): WhereAnswer | undefined {
  const { fleet, scheduler, zone } = context;
  const now = scheduler.now();
  const table = context.routes();
  const route = table?.configuration.routes.find(({ name }) => name === query.route);
  if (!table || !route) return undefined;
  const call = callOf(query, route, table, now);
  const { name, engine } = call.service;
  const run = { promptTokens: query.prompt, outputTokens: query.output, zone };
  const candidates = fleet.candidates(name, []);
  const choice = engine
    ? chooseEngine(call, run, withoutEffects(context)) : choosePlain(candidates, context);
  const servers = fleet.servers.filter(({ entry }) => entry.service === name).map((state) => {
    const candidate = candidates.find(({ server }) => server.entry.id === state.entry.id);
    return {
      ...serverFields(state, candidate),
      ...(engine && candidate && {
        hasCapacity: hasCapacity(candidate, run, engine),
        expectedFirstMs: Math.round(firstEventMs(candidate, run)),
      }),
      ...(!isUsable(state, now) && { unusable: unusableReason(state) }),
    };
  });
  return {
    instanceZone: zone,
    configuration: call.version,
    route: route.name,
    service: name,
    workspace: call.workspace?.name,
    ...choice,
    servers,
  };
}
