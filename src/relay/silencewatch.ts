/** Watches the open streams of all servers for silence, and checks servers that are silent. */
import { interval } from 'rxjs';
import type { SchedulerLike, Subscription } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Fleet } from './fleet.js';
import { overdue, verdict } from './silence.js';
import type { ServerSilence, StreamSilence } from './silence.js';

const TICK_MS = 25;
/** A tick this late means that the process itself stood still, which says nothing of servers. */
const PAUSED_MS = 100;

export interface WatchedStream {
  readonly server: string;
  silence(): StreamSilence;
  /** The stream is to go on elsewhere. */
  move(reason: string): void;
}

export class SilenceWatch {
  readonly #fleet: Fleet;

  readonly #scheduler: SchedulerLike;

  readonly #log: Log;

  readonly #streams = new Set<WatchedStream>();

  readonly #servers = new Map<string, ServerSilence>();

  /** Nothing that was silent before this time is held against it. */
  #awakeAt = 0;

  private constructor(fleet: Fleet, scheduler: SchedulerLike, log: Log) {
    this.#fleet = fleet;
    this.#scheduler = scheduler;
    this.#log = log;
  }

  static of(fleet: Fleet, scheduler: SchedulerLike, log: Log): SilenceWatch {
    return new SilenceWatch(fleet, scheduler, log);
  }

  /** Works until the subscription ends. */
  start(): Subscription {
    let tickedAt = this.#scheduler.now();
    return interval(TICK_MS, this.#scheduler).subscribe(() => {
      const now = this.#scheduler.now();
      if (now - tickedAt > PAUSED_MS) {
        this.#awakeAt = now;
        this.#log.event('warn', 'paused', { for_ms: Math.round(now - tickedAt) });
      }
      tickedAt = now;
      this.#look(now);
    });
  }

  /** Watches a stream until the returned function is called. */
  watch(stream: WatchedStream): () => void {
    this.#streams.add(stream);
    return () => this.#streams.delete(stream);
  }

  #look(now: number): void {
    const startedAt = new Map<string, number>();
    [...this.#streams].forEach((stream) => {
      const silence = stream.silence();
      const latest = Math.max(startedAt.get(stream.server) ?? 0, silence.startedAt);
      startedAt.set(stream.server, latest);
      const since = Math.max(this.#awakeAt, silence.startedAt);
      const fresh = {
        ...silence,
        startedAt: since,
        eventAt: silence.eventAt === undefined ? undefined : Math.max(since, silence.eventAt),
      };
      if (overdue(fresh, now)) stream.move('silent');
    });
    [...this.#servers.keys()].filter((server) => !startedAt.has(server))
      .forEach((server) => this.#servers.delete(server));
    startedAt.forEach((given, server) => this.#lookAt(server, given, now));
  }

  #lookAt(server: string, givenAt: number, now: number): void {
    const heardAt = Math.max(this.#fleet.heardAt(server), givenAt, this.#awakeAt);
    const known = this.#servers.get(server) ?? {
      heardAt, checkedAt: 0, failedChecks: 0, checking: false,
    };
    const failedChecks = known.heardAt === heardAt ? known.failedChecks : 0;
    const state: ServerSilence = { ...known, heardAt, failedChecks };
    this.#servers.set(server, state);
    switch (verdict(state, now)) {
      case 'wait': break;
      case 'check':
        this.#check(server, state, now);
        break;
      case 'lost':
        this.#servers.delete(server);
        this.#fleet.suspect(server, `silent for ${Math.round(now - heardAt)} ms`);
        [...this.#streams].filter((stream) => stream.server === server)
          .forEach((stream) => stream.move('the server is silent'));
        break;
    }
  }

  #check(server: string, state: ServerSilence, now: number): void {
    this.#servers.set(server, { ...state, checkedAt: now, checking: true });
    const settle = (accepted: boolean) => {
      const current = this.#servers.get(server);
      if (!current) return;
      const failedChecks = accepted ? 0 : current.failedChecks + 1;
      this.#servers.set(server, { ...current, checking: false, failedChecks });
    };
    this.#fleet.check(server).then(settle, (error: unknown) => {
      this.#log.event('error', 'check_failed', { server, reason: String(error) });
      settle(false);
    });
  }
}
