/**
 * Connects the servers' pace to the relay: observes streams and calls, tells the choice of a server
 * what is known, and logs when that changes.
 */
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import { EventGaps } from '../pace/gaps.js';
import type { Observation } from '../pace/observation.js';
import { Pace } from '../pace/pace.js';
import type { PaceReport } from '../pace/report.js';
import { ServerTimings } from '../pace/timings.js';
import type { PeerLoads } from './fleetcontext.js';
import type { Pacing } from './pacing.js';
import { totalLoad } from './selection.js';
import { NO_LOAD } from './serverstate.js';
import type { Load, ServerState } from './serverstate.js';
import type { ServerEntry } from './serverentry.js';
import type { ServerMeasurements } from './servermetrics.js';

/**
 * Share of the messages that tell of paces: they are sent ten times a second, and an estimate with
 * a half-life of seconds needs two or three.
 */
const TOLD_SHARE = 0.3;
/** Entries of about 50 bytes in a message; several messages together carry more. */
const MAX_TOLD = 8;
/** A change by less is not logged. */
const LOGGED_RATIO = 1.25;
/** Shortest time between two log lines of a server. */
const LOG_INTERVAL_MS = 1_000;
/** A change of a server's process that is gone is not compared with. */
const MAX_LOGGED = 1_024;
const FIRST_FAILURE = 300;

export interface ServerPacesContext {
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
  readonly server: (id: string) => ServerState | undefined;
  readonly peerLoads: PeerLoads;
}

/** Observes one attempt of a stream. */
export interface StreamObserver {
  event(text: string): void;
  end(): void;
}

interface Logged extends Pick<Pacing, 'factor' | 'limit'> {
  readonly at: number;
}

export class ServerPaces {
  readonly #context: ServerPacesContext;

  readonly #pace = Pace.of();

  readonly #timings = ServerTimings.of();

  readonly #logged = new Map<string, Logged>();

  private constructor(context: ServerPacesContext) {
    this.#context = context;
  }

  static of(context: ServerPacesContext): ServerPaces {
    return new ServerPaces(context);
  }

  /** What the choice of a server takes into account. */
  pacing(entry: ServerEntry): Pacing {
    const now = this.#now();
    const pacing = {
      factor: this.#pace.factor(entry, now),
      limit: this.#pace.limit(entry, entry.slots, now),
      isKnown: this.#pace.isKnown(entry, now),
    };
    this.#logChange(entry, pacing, now);
    return pacing;
  }

  /** What the metrics show; reading it begins a new period for the longest gaps. */
  measurements(): readonly ServerMeasurements[] {
    const entryOf = (id: string) => this.#context.server(id)?.entry;
    return this.#timings.read((id) => entryOf(id) !== undefined).flatMap((timings) => {
      const entry = entryOf(timings.server);
      return entry ? [{ ...timings, pacing: this.pacing(entry) }] : [];
    });
  }

  /** What a message tells other instances; empty in most. */
  get reports(): readonly PaceReport[] {
    const { random } = this.#context;
    if (random.fraction() >= TOLD_SHARE) return [];
    const reports = this.#pace.reports((id) => this.#context.server(id)?.entry, this.#now());
    return reports.length > MAX_TOLD ? random.shuffled(reports).slice(0, MAX_TOLD) : reports;
  }

  adopt(reports: readonly PaceReport[], from: string): void {
    this.#pace.adopt(reports, from, (id) => this.#context.server(id)?.entry, this.#now());
  }

  /**
   * Begins to observe an attempt of a stream, before its load is assigned.
   *
   * @param prefillTokens prompt tokens that the engine has to prefill for it
   */
  observeStream(entry: ServerEntry, prefillTokens: number): StreamObserver {
    const startedAt = this.#now();
    const before = this.#load(entry.id);
    const gaps = EventGaps.of();
    let lastAt: number | undefined;
    const step = (ms: number | undefined) => {
      if (ms === undefined) return;
      this.#observe(entry, { kind: 'step', ms, running: this.#load(entry.id).running });
    };
    return {
      event: (text) => {
        const now = this.#now();
        if (lastAt !== undefined) this.#timings.recordGap(entry.id, now - lastAt);
        // What a standby copy holds is not prefilled.
        else if (prefillTokens > 0) {
          this.#timings.recordFirst(entry.id, now - startedAt);
          this.#observe(entry, {
            kind: 'first',
            ms: now - startedAt,
            tokens: before.prefillTokens + prefillTokens,
            running: before.running + 1,
          });
        }
        lastAt = now;
        step(gaps.add(text.length, now));
      },
      end: () => step(gaps.take()),
    };
  }

  /** Begins to observe a plain call, before its load is assigned; to be told of its end. */
  observeCall(entry: ServerEntry): (status: number) => void {
    const startedAt = this.#now();
    const running = this.#load(entry.id).running + 1;
    return (status) => {
      // A refusal takes less time than an answer.
      if (status >= FIRST_FAILURE) return;
      this.#observe(entry, { kind: 'call', ms: this.#now() - startedAt, running });
    };
  }

  #observe(entry: ServerEntry, observation: Observation): void {
    this.#pace.observe(entry, observation, this.#now());
  }

  #now(): number {
    return this.#context.scheduler.now();
  }

  #load(id: string): Load {
    const { server, peerLoads } = this.#context;
    return totalLoad(server(id)?.ownLoad ?? NO_LOAD, peerLoads(id));
  }

  #logChange(entry: ServerEntry, pacing: Pacing, now: number): void {
    const { factor, limit } = pacing;
    const before = this.#logged.get(entry.id) ?? {
      factor: 1, limit: entry.slots, at: -Infinity,
    };
    const ratio = factor / before.factor;
    const isChanged = limit !== before.limit || (factor === 1) !== (before.factor === 1)
      || Math.max(ratio, 1 / ratio) > LOGGED_RATIO;
    if (!isChanged || now - before.at < LOG_INTERVAL_MS) return;
    this.#logged.delete(entry.id);
    this.#logged.set(entry.id, { ...pacing, at: now });
    const [oldest] = this.#logged.keys();
    if (this.#logged.size > MAX_LOGGED && oldest !== undefined) this.#logged.delete(oldest);
    const { observations } = this.#pace.estimate(entry, now);
    this.#context.log.event('info', 'server_pace', {
      server: entry.id,
      service: entry.service,
      factor: factor.toFixed(2),
      before: before.factor.toFixed(2),
      limit,
      slots: entry.slots,
      observations: Math.round(observations),
    });
  }
}
