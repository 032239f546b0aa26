/** Times of each server's streams for the metrics: first events, and gaps between events. */

/** Bounds the number of series; others are left out until some of these are gone. */
const MAX_SERVERS = 100;

export interface Timings {
  readonly server: string;
  readonly firstEvents: number;
  readonly firstEventMs: number;
  readonly gaps: number;
  readonly gapMs: number;
  /** Longest gap since the timings were last read. */
  readonly longestGapMs: number;
}

type Sums = { -readonly [Field in keyof Timings]: Timings[Field] };

export class ServerTimings {
  /** Changed in place, as there is a gap for each event of each stream. */
  readonly #sums = new Map<string, Sums>();

  static of(): ServerTimings {
    return new ServerTimings();
  }

  /* eslint-disable no-param-reassign -- the sums of a server */
  recordFirst(server: string, ms: number): void {
    const sums = this.#of(server);
    sums.firstEvents += 1;
    sums.firstEventMs += ms;
  }

  recordGap(server: string, ms: number): void {
    const sums = this.#of(server);
    sums.gaps += 1;
    sums.gapMs += ms;
    sums.longestGapMs = Math.max(sums.longestGapMs, ms);
  }

  /** Those of servers that are known; the others are forgotten. */
  read(isKnown: (server: string) => boolean): readonly Timings[] {
    [...this.#sums.keys()].filter((server) => !isKnown(server))
      .forEach((server) => this.#sums.delete(server));
    const timings = [...this.#sums.values()].map((sums) => ({ ...sums }));
    this.#sums.forEach((sums) => {
      sums.longestGapMs = 0;
    });
    return timings;
  }
  /* eslint-enable no-param-reassign */

  #of(server: string): Sums {
    const known = this.#sums.get(server);
    if (known) return known;
    const sums = {
      server, firstEvents: 0, firstEventMs: 0, gaps: 0, gapMs: 0, longestGapMs: 0,
    };
    if (this.#sums.size < MAX_SERVERS) this.#sums.set(server, sums);
    return sums;
  }
}
