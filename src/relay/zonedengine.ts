/** Selects the engine of a new run with regard to where its bytes go. */
import type { Call } from './call.js';
import type { RelayContext } from './context.js';
import type { EngineCapacity } from './routes.js';
import { firstEventMs, selectEngine } from './selection.js';
import type { Candidate, RunDemand } from './selection.js';

export function selectZonedEngine(
  call: Pick<Call, 'service' | 'route'>,
  candidates: readonly Candidate[],
  run: RunDemand,
  engine: EngineCapacity,
  {
    zoneStays, scheduler, log,
  }: Pick<RelayContext, 'zoneStays' | 'scheduler' | 'log'>,
): Candidate | undefined {
  const best = selectEngine(candidates, run, engine, scheduler.now());
  if (!zoneStays.isOn) return best;
  const near = candidates.filter(({ server, zoneSuspect }) => (
    server.entry.zone === run.zone && !zoneSuspect));
  const here = selectEngine(near, run, engine, scheduler.now());
  const times = {
    hereMs: here ? firstEventMs(here, run) : Infinity,
    bestMs: best ? firstEventMs(best, run) : Infinity,
  };
  const { stay, changed } = zoneStays.next(call.service.name, times, call.route.objectiveMs);
  if (changed) {
    log.event('info', 'zone_stay', {
      service: call.service.name,
      stay,
      here_ms: here ? Math.round(times.hereMs) : undefined,
      best_ms: Math.round(times.bestMs),
      objective_ms: call.route.objectiveMs,
    });
  }
  return stay === 'here' ? here ?? best : best;
}
