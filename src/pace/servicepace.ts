/** The pace of the servers of one service, from own observations and those of other instances. */
import {
  bandOf, BANDS, Bands, decay,
} from './bands.js';
import type { Point } from './bands.js';
import { bandWeights, overloadedBand } from './concurrency.js';
import type { BandWeights } from './concurrency.js';
import { estimateService } from './estimate.js';
import type { ServerEstimate, ServiceEstimate } from './estimate.js';
import { sampleOf } from './observation.js';
import type {
  Observation, PacedServer, PaceKind, Sample,
} from './observation.js';
import type { PaceReport } from './report.js';
import { ToldPaces } from './told.js';

/** A choice for each request reads the estimate, which changes within seconds. */
const ESTIMATE_MS = 300;
/** A limit is kept for this time before a higher concurrency is tried again. */
const LIMIT_MS = 10_000;
/** Estimates in a row that have to find a limit: a server may become slow between two of them. */
const MIN_FOUND = 3;
/** Spread that is assumed before there are observations: a fifth of the time, as 5 of them. */
const PRIOR_DEVIATION = 0.2;
const PRIOR_WEIGHT = 5;
/** Logarithm by which an observation counts at most as slower or faster than the service's mean. */
const MAX_OFFSET = 1.5;
/** Observations after which the mean is known well enough to bound others by it. */
const BOUNDING_WEIGHT = 8;
/** What the others get to know of. */
const MIN_TOLD_WEIGHT = 0.5;
/** A service has far fewer servers; those that are gone drop out as the oldest. */
const MAX_SERVERS = 512;
/** A server without observations for this time is at the mean, and can be forgotten. */
const FORGET_MS = 120_000;

interface KnownServer {
  readonly startedAt: number;
  readonly bands: Bands;
  usedAt: number;
  /** The lowest band that the server doesn't take well, and until when this holds. */
  overloaded: { readonly band: number; readonly until: number } | undefined;
  /** Estimates in a row that found a band that is too much. */
  found: number;
  /** Weights at the last estimate. */
  weights: BandWeights;
}

interface Snapshot {
  readonly at: number;
  readonly estimate: ServiceEstimate;
}

function heldBand({ overloaded }: KnownServer, now: number): number | undefined {
  return overloaded && now < overloaded.until ? overloaded.band : undefined;
}

/** A band begins at its share of the slots, which is the first number that is too much. */
function heldLimit(known: KnownServer, slots: number, now: number): number {
  const band = heldBand(known, now);
  return band === undefined ? slots : Math.max(1, Math.ceil((slots * band) / BANDS) - 1);
}

/* eslint-disable no-param-reassign -- the server's own record */
function markOverloaded(known: KnownServer, band: number | undefined, now: number): void {
  const before = heldBand(known, now);
  known.found = band === undefined ? 0 : known.found + 1;
  if (band === undefined || known.found < MIN_FOUND) return;
  known.overloaded = { band: Math.min(band, before ?? band), until: now + LIMIT_MS };
}
/* eslint-enable no-param-reassign */

/** What is slow since the server has too much to do doesn't tell how fast it is. */
function takenWell(known: KnownServer, points: readonly Point[], now: number): readonly Point[] {
  const band = heldBand(known, now) ?? BANDS;
  return points.filter(({ concurrency }) => bandOf(concurrency) < band);
}

export class ServicePace {
  readonly #servers = new Map<string, KnownServer>();

  readonly #told = ToldPaces.of();

  #snapshot: Snapshot | undefined;

  static of(): ServicePace {
    return new ServicePace();
  }

  observe(server: PacedServer, observation: Observation, now: number): void {
    const sample = sampleOf(observation, server.slots);
    if (!sample) return;
    const known = this.#known(server, now);
    known.bands.add(observation.kind, this.#bounded(observation.kind, sample, now), now);
  }

  adopt(server: PacedServer, report: PaceReport, from: string, now: number): void {
    if (report.startedAt !== server.startedAt) return;
    this.#known(server, now);
    this.#told.adopt(report, from, now);
  }

  estimate({ id, startedAt }: PacedServer, now: number): ServerEstimate | undefined {
    if (this.#servers.get(id)?.startedAt !== startedAt) return undefined;
    return this.#estimate(now).servers.get(id);
  }

  /** Requests that the server takes well at the same time: `slots`, unless fewer are known. */
  limit({ id, startedAt }: PacedServer, slots: number, now: number): number {
    const known = this.#servers.get(id);
    if (known?.startedAt !== startedAt) return slots;
    this.#estimate(now);
    return heldLimit(known, slots, now);
  }

  /** What this instance has observed itself. */
  reports(slots: (server: string) => number | undefined, now: number): readonly PaceReport[] {
    return [...this.#servers].flatMap(([server, known]) => {
      const count = slots(server);
      if (count === undefined) return [];
      const { startedAt, bands } = known;
      // The last estimate's limit: messages are sent also where no request needs an estimate.
      const limit = heldLimit(known, count, now);
      return bands.points(now).filter(({ weight }) => weight >= MIN_TOLD_WEIGHT)
        .map((point) => ({
          ...point, server, startedAt, limit,
        }));
    });
  }

  #known({ id, startedAt }: PacedServer, now: number): KnownServer {
    const before = this.#servers.get(id);
    if (before && before.startedAt === startedAt) {
      before.usedAt = now;
      return before;
    }
    const known = {
      startedAt,
      bands: Bands.of(),
      usedAt: now,
      overloaded: undefined,
      found: 0,
      weights: new Map<string, number>(),
    };
    this.#servers.delete(id);
    this.#servers.set(id, known);
    const [oldest] = this.#servers.keys();
    if (this.#servers.size > MAX_SERVERS && oldest !== undefined) this.#servers.delete(oldest);
    return known;
  }

  /** A stalled request counts as slow, not as a hundred slow ones. */
  #bounded(kind: PaceKind, sample: Sample, now: number): Sample {
    const centre = this.#estimate(now).centres.get(kind);
    if (!centre || centre.weight < BOUNDING_WEIGHT) return sample;
    const expected = centre.level + centre.slope * sample.concurrency;
    const level = Math.min(expected + MAX_OFFSET, Math.max(expected - MAX_OFFSET, sample.level));
    return { ...sample, level };
  }

  #estimate(now: number): ServiceEstimate {
    if (this.#snapshot && now - this.#snapshot.at < ESTIMATE_MS) return this.#snapshot.estimate;
    const estimate = this.#computed(now);
    this.#snapshot = { at: now, estimate };
    return estimate;
  }

  #computed(now: number): ServiceEstimate {
    this.#servers.forEach(({ usedAt }, id) => {
      if (now - usedAt > FORGET_MS) this.#servers.delete(id);
    });
    const told = this.#told.points((server) => this.#servers.get(server)?.startedAt, now);
    const deviation = this.#deviation(now);
    const left = decay(now - (this.#snapshot?.at ?? now));
    const servers = [...this.#servers].map(([server, known]) => {
      const points = [...known.bands.points(now), ...told.get(server) ?? []];
      const band = overloadedBand(points, deviation, { weights: known.weights, left });
      markOverloaded(known, band, now);
      // eslint-disable-next-line no-param-reassign -- the server's own record
      known.weights = bandWeights(points);
      return { server, points: takenWell(known, points, now) };
    });
    return estimateService(servers, deviation);
  }

  /** Standard deviation of single observations, by kind. */
  #deviation(now: number): (kind: PaceKind) => number {
    const servers = [...this.#servers.values()];
    return (kind) => {
      const spreads = servers.map(({ bands }) => bands.spread(kind, now));
      const weight = spreads.reduce((sum, spread) => sum + spread.weight, PRIOR_WEIGHT);
      const squares = spreads.reduce(
        (sum, spread) => sum + spread.squares,
        PRIOR_WEIGHT * PRIOR_DEVIATION ** 2,
      );
      return Math.sqrt(squares / weight);
    };
  }
}
