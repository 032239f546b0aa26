/** Logs each routing decision with the terms of its score. */
import type { Log } from '../common/log.js';
import { weighedText } from './choice.js';
import type { Choice } from './choice.js';
import type { MatchResult } from './servers.js';
import { attemptKind } from './queuedrequest.js';
import type { QueuedRequest } from './queuedrequest.js';

/** Logs that a request was dispatched to a server; times are in milliseconds. */
export function logRoute(
  log: Log,
  { entry, request }: QueuedRequest,
  { candidates, full, excluded }: MatchResult,
  choice: Choice,
  now: number,
): void {
  const { chosen } = choice;
  log.event('info', 'route', {
    request: request.requestId,
    workspace: request.workspace,
    priority: request.priority,
    attempt: attemptKind(request),
    need: entry.key,
    server: chosen.candidate.server,
    version: chosen.candidate.version,
    zone: chosen.candidate.zone,
    in_flight: chosen.candidate.occupancy,
    queued_ms: (now - entry.enteredAt).toFixed(1),
    total_ms: chosen.totalMs.toFixed(1),
    wait_ms: chosen.waitMs.toFixed(1),
    prefill_ms: chosen.prefillMs.toFixed(1),
    zone_ms: chosen.zoneMs,
    health_ms: chosen.healthMs,
    version_ms: chosen.versionMs,
    candidates: candidates.length,
    full,
    excluded: Object.entries(excluded).map(([reason, count]) => `${reason}:${count}`),
    weighed: weighedText(choice),
  });
}
