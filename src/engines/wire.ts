/**
 * The HTTP protocol of engines: JSON bodies, and server-sent events whose data is one JSON object
 * each. The client and the stand-in's server share these schemas.
 *
 *     POST   /v1/attempts                              AttemptRequest -> stream of EngineEvent
 *     GET    /v1/attempts/<generation>/<attempt>?position=N      -> stream of EngineEvent
 *     DELETE /v1/attempts/<generation>/<attempt>       -> CancelOutcome
 *     GET    /v1/load                                  -> LoadReport
 *     GET    /v1/cache-events                          -> stream of CacheEvent
 *     POST   /v1/orders                                FencedOrder -> OrderOutcome
 */
import { z } from 'zod';

const model = z.object({
  model: z.string(), version: z.string(), adapters: z.array(z.string()),
});

export const engineEvent = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('opened'), incarnation: z.string() }),
  z.object({ kind: z.literal('token'), position: z.int().min(0), text: z.string() }),
  z.object({
    kind: z.literal('finish'),
    position: z.int().min(0),
    reason: z.enum(['stop', 'length']),
    promptTokens: z.int().min(0).optional(),
  }),
  z.object({
    kind: z.literal('failed'),
    cause: z.enum(['refused', 'connect', 'reset', 'ended_early', 'protocol', 'version_missing']),
    ran: z.enum(['no', 'unknown']),
    message: z.string(),
  }),
]);

export const loadReport = z.object({
  incarnation: z.string(),
  running: z.int().min(0),
  waiting: z.int().min(0),
  slots: z.int().min(0),
  stepMs: z.number().min(0),
  cachedTokens: z.number().min(0),
  cacheCapacityTokens: z.number().min(0),
  role: z.enum(['serve', 'idle', 'leaving']),
  models: z.array(model),
  loading: z.array(z.string()),
  fence: z.int().min(0),
});

export const cacheEvent = z.object({
  incarnation: z.string(),
  sequence: z.int().min(0),
  kind: z.enum(['stored', 'evicted', 'cleared']),
  blocks: z.array(z.string()),
});

export const cancelOutcome = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('cancelled'), made: z.int().min(0) }),
  z.object({ kind: z.literal('not_found') }),
]);

export const orderOutcome = z.enum(['accepted', 'fenced', 'refused']);

/** One server-sent event that carries `value` as JSON. */
export function encodeEvent(value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}
