/** Log fields that explain the choice of a server. */
import type { LogFields } from '../common/log.js';
import type { AttemptPlan } from './attemptplan.js';
import type { Call } from './call.js';
import { remainingMs } from './context.js';
import type { RelayContext } from './context.js';
import type { EngineChoice } from './enginechoice.js';
import type { Rejection } from './quarantine.js';
import type { EngineCapacity } from './routes.js';
import type { Candidate } from './selection.js';
import type { ServerState } from './serverstate.js';

/** Maximum length of a prompt's parts in a log line. */
const MAX_PARTS_LENGTH = 120;

/** The parts of a call's prompt that other requests can share. */
export function sharedPartsField({ fields: { parts } }: Call): string | undefined {
  const shared = parts.slice(0, -1).map(({ id }) => id).join(',');
  return shared === '' ? undefined : shared.slice(0, MAX_PARTS_LENGTH);
}

/** Time since the last bytes from a server; undefined if none ever came. */
export function heardMsAgo(id: string, { fleet, scheduler }: RelayContext): number | undefined {
  const at = fleet.heardAt(id);
  return at === 0 ? undefined : Math.round(scheduler.now() - at);
}

/** Where a server's entry came from and when, and how old the copy of all entries is. */
export function listingFields(
  { listed }: ServerState,
  { scheduler, serverCopy }: RelayContext,
): LogFields {
  const { version, ageMs } = serverCopy();
  return {
    listed_from: listed.from,
    listed_ms_ago: Math.round(scheduler.now() - listed.at),
    servers_version: version,
    servers_age_ms: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
  };
}

/** A server's pace, unless it is the mean, and the requests it takes well, unless its slots. */
function paceFields({ server, pace }: Candidate): LogFields {
  return {
    pace: pace && pace.factor !== 1 ? pace.factor.toFixed(2) : undefined,
    takes_well: pace && pace.limit < server.entry.slots ? pace.limit : undefined,
  };
}

/** The inputs to the choice of an engine. */
export function routeFields(call: Call, plan: AttemptPlan, candidate: Candidate): LogFields {
  const { server, load } = candidate;
  return {
    request: call.id,
    workspace: call.workspace?.name,
    service: call.service.name,
    server: server.entry.id,
    zone: server.entry.zone,
    software: server.entry.software,
    resumes: call.fields.resumes,
    forwarded_by: call.forwardedBy,
    copy: plan.resumesFromCopy,
    standby: plan.standby?.id,
    running: load.running,
    reading_tokens: load.prefillTokens,
    memory_tokens: load.memoryTokens + load.standby,
    ...paceFields(candidate),
    expected_ms: Math.round(plan.expectedFirstMs),
    configuration: call.version,
  };
}

/** The inputs to the choice of a server for a plain call. */
export function callRouteFields(
  call: Call,
  candidate: Candidate,
  context: RelayContext,
): LogFields {
  const { server, load } = candidate;
  const { entry, meanDurationMs } = server;
  return {
    request: call.id,
    workspace: call.workspace?.name,
    service: call.service.name,
    server: entry.id,
    zone: entry.zone,
    forwarded_by: call.forwardedBy,
    ...listingFields(server, context),
    ...context.throttles.fields(entry),
    running: load.running,
    mean_ms: Math.round(meanDurationMs),
    ...paceFields(candidate),
    heard_ms_ago: heardMsAgo(entry.id, context),
    configuration: call.version,
    left_ms: Math.round(remainingMs(call, context)),
  };
}

/** The inputs to the choice of an engine for an attempt of a stream. */
export function streamRouteFields(
  call: Call,
  { plan, chosen, candidates }: Extract<EngineChoice, { kind: 'chosen' }>,
  attempt: { readonly attempt: number; readonly held_tokens: number; readonly from: number },
  context: RelayContext,
): LogFields {
  const { entry } = chosen.server;
  return {
    ...routeFields(call, plan, chosen),
    ...listingFields(chosen.server, context),
    ...context.throttles.fields(entry),
    ...attempt,
    heard_ms_ago: heardMsAgo(entry.id, context),
    candidates,
    left_ms: Math.round(remainingMs(call, context)),
  };
}

/** The candidates' capacity, for a run that needs `demandTokens`. */
export function capacityFields(
  candidates: readonly Candidate[],
  demandTokens: number,
  { memoryTokens }: EngineCapacity,
): LogFields {
  return {
    candidates: candidates.length,
    least_memory_tokens: Math.min(...candidates.map(({ load }) => (
      load.memoryTokens + load.standby))),
    demand_tokens: demandTokens,
    memory_tokens: memoryTokens,
  };
}

export const THROTTLED_MESSAGE = 'every backend server is at the rate limit that it names';

/** The rate limits of candidates that are all at them. */
export function throttledFields(
  candidates: readonly Candidate[],
  { throttles }: RelayContext,
): LogFields {
  const limits = candidates.map(({ server, delayMs }) => {
    const { limit_per_second: limit, share_per_second: share } = throttles.fields(server.entry);
    return `${server.entry.id}:${String(limit)}:${String(share)}:${Math.ceil(delayMs)}`;
  });
  return { candidates: candidates.length, limits: limits.join(',') };
}

/** Why no server was chosen. */
function unplacedFields(
  {
    id, service, workspace, version, fields: { resumes },
  }: Call,
  reason: string,
  { retries, scheduler }: RelayContext,
): LogFields {
  return {
    request: id,
    workspace: workspace?.name,
    service: service.name,
    reason,
    resumes,
    retries_left: retries.left(service.name, scheduler.now()),
    configuration: version,
  };
}

/** Logs that no server takes a call, with what was weighed. */
export function logUnplaced(
  call: Call,
  reason: string,
  inputs: LogFields,
  context: RelayContext,
): void {
  const fields = unplacedFields(call, reason, context);
  context.log.event('info', 'unplaced', { ...fields, ...inputs });
}

/** Why a call must not be sent to any engine. */
export function rejectionFields(
  call: Call,
  { refusal, inputs }: Rejection,
  context: RelayContext,
): LogFields {
  const fields = unplacedFields(call, refusal.message, context);
  return { ...fields, parts: sharedPartsField(call), ...inputs };
}
