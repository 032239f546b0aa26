/** What the servers of a deployment ran and refused, by request id. */

/** How a run ended: `cut` by its instance, `broken` by the server. */
export type RunEnd = 'open' | 'whole' | 'broken' | 'cut';

/** One request that a server ran. */
export interface Run {
  readonly id: string;
  readonly server: string;
  readonly from: number;
  readonly startedAt: number;
  end: RunEnd;
  endedAt: number;
}

export class EngineRecord {
  readonly runs = new Map<string, Run[]>();

  /** Requests that a server refused without running them. */
  readonly refused = new Set<string>();

  of(id: string): readonly Run[] {
    return this.runs.get(id) ?? [];
  }

  add(run: Run): Run {
    this.runs.set(run.id, [...this.of(run.id), run]);
    return run;
  }
}
