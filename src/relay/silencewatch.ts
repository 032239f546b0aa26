/** Watches the open streams of all servers for silence, and checks silent servers. */
import { interval } from 'rxjs';
import type { SchedulerLike, Subscription } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Fleet } from './fleet.js';
import { isOverdue, nextAction } from './silence.js';
import type { ServerActivity, StreamActivity } from './silence.js';

/** A wake-up costs a small instance more than what it does; silence is noticed this much later. */
const TICK_MS = 50;
/** A longer gap means that this process was paused, which is no evidence against servers. */
const MAX_TICK_GAP_MS = 100;

export interface WatchedStream {
  readonly server: string;
  activity(): StreamActivity;
  /**
   * Asks the stream to move to another engine.
   *
   * @param isLost whether the server accepts no connections either
   */
  migrate(reason: string, isLost: boolean): void;
}

export class SilenceWatch {
  readonly #fleet: Fleet;

  readonly #scheduler: SchedulerLike;

  readonly #log: Log;

  readonly #streams = new Set<WatchedStream>();

  readonly #servers = new Map<string, ServerActivity>();

  /** When this process last resumed from a pause; earlier silence is ignored. */
  #resumedAt = 0;

  private constructor(fleet: Fleet, scheduler: SchedulerLike, log: Log) {
    this.#fleet = fleet;
    this.#scheduler = scheduler;
    this.#log = log;
  }

  static of(fleet: Fleet, scheduler: SchedulerLike, log: Log): SilenceWatch {
    return new SilenceWatch(fleet, scheduler, log);
  }

  /** Watches until the subscription ends. */
  start(): Subscription {
    let tickedAt = this.#scheduler.now();
    return interval(TICK_MS, this.#scheduler).subscribe(() => {
      const now = this.#scheduler.now();
      if (now - tickedAt > MAX_TICK_GAP_MS) {
        this.#resumedAt = now;
        this.#log.event('warn', 'paused', { for_ms: Math.round(now - tickedAt) });
      }
      tickedAt = now;
      this.#checkStreams(now);
    });
  }

  /** Watches a stream until the returned function is called. */
  watch(stream: WatchedStream): () => void {
    this.#streams.add(stream);
    return () => this.#streams.delete(stream);
  }

  #checkStreams(now: number): void {
    const latestStarts = new Map<string, number>();
    [...this.#streams].forEach((stream) => {
      const activity = stream.activity();
      const latest = Math.max(latestStarts.get(stream.server) ?? 0, activity.startedAt);
      latestStarts.set(stream.server, latest);
      const since = Math.max(this.#resumedAt, activity.startedAt);
      const adjusted = {
        ...activity,
        startedAt: since,
        eventAt: activity.eventAt === undefined ? undefined : Math.max(since, activity.eventAt),
      };
      if (isOverdue(adjusted, now)) stream.migrate('silent', false);
    });
    [...this.#servers.keys()].filter((server) => !latestStarts.has(server))
      .forEach((server) => this.#servers.delete(server));
    latestStarts.forEach((assignedAt, server) => this.#checkServer(server, assignedAt, now));
  }

  #checkServer(server: string, streamStartedAt: number, now: number): void {
    const heardAt = Math.max(this.#fleet.heardAt(server), streamStartedAt, this.#resumedAt);
    const previous = this.#servers.get(server) ?? {
      heardAt, checkedAt: 0, failedChecks: 0, checking: false,
    };
    const failedChecks = previous.heardAt === heardAt ? previous.failedChecks : 0;
    const state: ServerActivity = { ...previous, heardAt, failedChecks };
    this.#servers.set(server, state);
    switch (nextAction(state, now)) {
      case 'wait': break;
      case 'check':
        this.#startCheck(server, state, now);
        break;
      case 'lost':
        this.#servers.delete(server);
        this.#fleet.markSuspect(server, `silent for ${Math.round(now - heardAt)} ms`);
        [...this.#streams].filter((stream) => stream.server === server)
          .forEach((stream) => stream.migrate('the server is silent', true));
        break;
    }
  }

  #startCheck(server: string, state: ServerActivity, now: number): void {
    this.#servers.set(server, { ...state, checkedAt: now, checking: true });
    const onResult = (accepted: boolean) => {
      const current = this.#servers.get(server);
      if (!current) return;
      const failedChecks = accepted ? 0 : current.failedChecks + 1;
      this.#servers.set(server, { ...current, checking: false, failedChecks });
    };
    this.#fleet.check(server).then(onResult, (error: unknown) => {
      this.#log.event('error', 'check_failed', { server, reason: String(error) });
      onResult(false);
    });
  }
}
