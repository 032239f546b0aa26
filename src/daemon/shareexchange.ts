/** Exchanges the daemons' shares of the workspaces' limits through the soft state. */
import { map } from 'rxjs';
import { z } from 'zod';
import type { ShareExchange } from '../limits/admission.js';
import type { ShareRow } from '../limits/shares.js';
import type { Heartbeats } from '../membership/heartbeats.js';

const SHARES_KEY = 'shares';

const version = { incarnation: z.number(), version: z.number() };

const shareRow = z.object({
  instance: z.string(),
  ...version,
  claims: z.record(z.string(), z.object({
    demand: z.number(), hold: z.number(), raise: z.number(),
  })),
  seen: z.record(z.string(), z.object(version)),
});

function parseRow(value: unknown): readonly ShareRow[] {
  const parsed = shareRow.safeParse(value);
  return parsed.success ? [parsed.data] : [];
}

export function shareExchange(heartbeats: Heartbeats, self: string): ShareExchange {
  const { softState } = heartbeats;
  return {
    rows: softState.changes(SHARES_KEY).pipe(map((entries) => entries
      .filter(({ origin }) => origin !== self)
      .flatMap(({ value }) => parseRow(value)))),
    // A member considered dead on this side of a partition may still serve on the other side.
    members: () => [...new Set([
      ...heartbeats.current().map(({ name }) => name), ...heartbeats.listed() ?? [],
    ])],
    reachable: () => heartbeats.current()
      .filter(({ state }) => state === 'alive' || state === 'leaving')
      .map(({ name }) => name),
    publish: (row) => softState.publish(SHARES_KEY, row),
  };
}
