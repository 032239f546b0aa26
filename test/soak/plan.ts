/** What happens in a seeded run: when which client sends what, and which faults come when. */
import type { Random } from '../../src/common/random.js';

export type Kind = 'stream' | 'once' | 'safe' | 'unsafe';

/** How a client sends its requests and reads the answers. */
export type Style =
  /** One request after another on a connection that is kept. */
  | 'kept'
  /** The connection is opened some time before the request is sent. */
  | 'late'
  | 'half_head'
  | 'chunks'
  /** Reads nothing for some time. */
  | 'paused_reader'
  | 'slow_reader';

export interface RequestPlan {
  readonly id: string;
  readonly kind: Kind;
  readonly target: string;
  /** Events of its stream, or bytes of its answer. */
  readonly size: number;
  /** Whether the first server breaks off. */
  readonly isBroken: boolean;
}

export interface ClientPlan {
  readonly at: number;
  readonly instance: number;
  readonly style: Style;
  readonly requests: readonly RequestPlan[];
  /** The style's delay, or the pause between requests. */
  readonly delayMs: number;
}

export type Fault =
  | {
    readonly kind: 'signal';
    readonly at: number;
    readonly instance: number;
    readonly signal: NodeJS.Signals;
  }
  | {
    readonly kind: 'freeze' | 'cut';
    readonly at: number;
    readonly instance: number;
    readonly ms: number;
  }
  | { readonly kind: 'outage'; readonly at: number; readonly ms: number }
  | { readonly kind: 'configuration'; readonly at: number };

/** What becomes of an instance that has ended. */
export interface Restart {
  readonly afterMs: number;
  /** When it is stopped again while it starts; undefined if it isn't. */
  readonly stopAfterMs: number | undefined;
}

/** A server that sends nothing for a while, and goes on then. */
export interface Silence {
  readonly at: number;
  readonly engine: number;
  readonly ms: number;
}

export interface Plan {
  readonly instances: number;
  /** The instance whose standard output is full and not read, if any. */
  readonly fullOutput: number | undefined;
  readonly clients: readonly ClientPlan[];
  readonly faults: readonly Fault[];
  readonly restarts: readonly Restart[];
  readonly silences: readonly Silence[];
}

/** Engines that serve streams. */
export const ENGINES = 2;
export const GRACE_MS = 5_000;
/** Clients begin and faults come until then; at the end all instances are stopped at once. */
export const TRAFFIC_MS = 10_000;
export const LAST_STOP_MS = 9_000;
const CLIENTS = 170;
const KEPT_SHARE = 0.4;
const STYLES: readonly Style[] = ['late', 'half_head', 'chunks', 'paused_reader', 'slow_reader'];

class Planner {
  readonly #random: Random;

  #requests = 0;

  constructor(random: Random) {
    this.#random = random;
  }

  #chance(share: number): boolean {
    return this.#random.fraction() < share;
  }

  #request(large: boolean): RequestPlan {
    const random = this.#random;
    this.#requests += 1;
    const id = `r${this.#requests}x${random.integer(0, 0xffff).toString(16)}`;
    const kind = large ? 'safe' : random.pick<Kind>(['stream', 'stream', 'once', 'safe', 'unsafe']);
    const isBroken = this.#chance(0.05);
    const faults = isBroken ? `&broken=${random.integer(0, 4)}` : '';
    const refused = this.#chance(0.04) ? '&refuse=1' : '';
    const isLong = this.#chance(0.4);
    if (kind === 'stream' || kind === 'once') {
      const size = isLong ? random.integer(30, 60) : random.integer(2, 12);
      const step = isLong ? 100 : random.integer(10, 60);
      const target = `/${kind}/${id}?events=${size}&step=${step}${faults}${refused}`;
      return {
        id, kind, target, size, isBroken,
      };
    }
    const size = large ? random.integer(500_000, 7_500_000) : random.integer(0, 5_000);
    const ms = isLong && !large ? random.integer(1_000, 4_800) : random.integer(0, 200);
    const target = `/${kind}/${id}?ms=${ms}&bytes=${size}${faults}${refused}`;
    return {
      id, kind, target, size, isBroken,
    };
  }

  client(instances: number): ClientPlan {
    const random = this.#random;
    const style = this.#chance(KEPT_SHARE) ? 'kept' : random.pick(STYLES);
    const isLarge = style === 'paused_reader' || style === 'slow_reader';
    const count = style === 'kept' ? random.integer(1, 12) : 1;
    return {
      at: random.integer(0, TRAFFIC_MS),
      instance: random.integer(0, instances - 1),
      style,
      requests: Array.from({ length: count }, () => this.#request(isLarge && this.#chance(0.7))),
      delayMs: style === 'kept' ? random.integer(0, 400) : random.integer(50, 5_000),
    };
  }

  #stops(instances: number): readonly Fault[] {
    const random = this.#random;
    const apartMs = random.pick([0, 0, 50, 1_000, 2_500, 3_500]);
    const first = random.integer(500, 3_000);
    return random.shuffled(Array.from({ length: instances }, (_, index) => index))
      .slice(0, random.integer(1, instances)).flatMap((instance, order): Fault[] => {
        const at = first + order * apartMs;
        const again = random.pick<NodeJS.Signals>(['SIGTERM', 'SIGINT', 'SIGHUP']);
        const signal = random.pick<NodeJS.Signals>(['SIGTERM', 'SIGTERM', 'SIGINT']);
        const stop: Fault = {
          kind: 'signal', at, instance, signal,
        };
        const repeated: Fault = {
          kind: 'signal', at: at + random.integer(1, 4_700), instance, signal: again,
        };
        return this.#chance(0.5) ? [stop, repeated] : [stop];
      });
  }

  faults(instances: number): readonly Fault[] {
    const random = this.#random;
    const at = () => random.integer(0, TRAFFIC_MS);
    const instance = () => random.integer(0, instances - 1);
    const optional = (share: number, create: () => Fault): Fault[] => (
      this.#chance(share) ? [create()] : []);
    return [
      ...this.#stops(instances),
      ...optional(0.5, () => ({ kind: 'configuration', at: at() })),
      ...optional(0.3, () => ({ kind: 'outage', at: at(), ms: random.integer(300, 3_000) })),
      ...optional(0.4, () => ({
        kind: 'freeze', at: at(), instance: instance(), ms: random.integer(50, 1_500),
      })),
      ...optional(0.4, () => ({
        kind: 'cut', at: at(), instance: instance(), ms: random.integer(1_000, 4_000),
      })),
      ...optional(0.3, () => ({
        kind: 'signal', at: at(), instance: instance(), signal: 'SIGHUP',
      })),
    ];
  }

  silences(): readonly Silence[] {
    const random = this.#random;
    return Array.from({ length: random.integer(0, 4) }, () => ({
      at: random.integer(0, LAST_STOP_MS + GRACE_MS),
      engine: random.integer(0, ENGINES - 1),
      ms: random.integer(300, 1_500),
    }));
  }

  restart(): Restart {
    const random = this.#random;
    return {
      afterMs: random.integer(0, 600),
      stopAfterMs: this.#chance(0.3) ? random.integer(20, 900) : undefined,
    };
  }
}

export function planOf(random: Random): Plan {
  const planner = new Planner(random);
  const instances = random.integer(2, 3);
  return {
    instances,
    fullOutput: random.fraction() < 0.25 ? random.integer(0, instances - 1) : undefined,
    faults: planner.faults(instances),
    restarts: Array.from({ length: instances }, () => planner.restart()),
    clients: Array.from({ length: CLIENTS }, () => planner.client(instances)),
    silences: planner.silences(),
  };
}
