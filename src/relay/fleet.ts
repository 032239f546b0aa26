/** The backend servers as this instance sees them: entries, observed health and assigned load. */
import { interval } from 'rxjs';
import type { Subscription } from 'rxjs';
import { RenewalGrace } from '../liveness/renewalgrace.js';
import { Successors } from '../liveness/successors.js';
import type { Succession } from '../liveness/successors.js';
import { trackAssignment } from './assignment.js';
import type { Assignment } from './assignment.js';
import { candidatesOf } from './candidates.js';
import type { FleetContext } from './fleetcontext.js';
import { isReachable } from './identity.js';
import type { ServerProcess } from './identity.js';
import { Probes } from './probes.js';
import { restartedEntry, successorOf } from './release.js';
import type { Candidate } from './selection.js';
import type { ServerEntry } from './serverentry.js';
import {
  addLoad, listedFields, markReached, markSuspect, sameProcess, serverState, withEntry,
  withOutcome,
} from './serverstate.js';
import type { Load, ServerState } from './serverstate.js';
import { replacedBy, SupersededServers } from './superseded.js';
import { ZoneFailures } from './zonefailures.js';

const SWEEP_MS = 500;

export class Fleet {
  readonly #context: FleetContext;

  readonly #servers = new Map<string, ServerState>();

  /** When bytes from a server's address were last read, or a connection to it was accepted. */
  readonly #lastHeardAt = new Map<string, number>();

  readonly #probes: Probes;

  readonly successors: Successors;

  readonly #zoneFailures = ZoneFailures.of();

  readonly #superseded = SupersededServers.of();

  /** While it lasts, entries that disappear may have expired during an outage of the store. */
  readonly renewals: RenewalGrace;

  #loaded = false;

  private constructor(context: FleetContext) {
    this.#context = context;
    this.#probes = Probes.of(context);
    this.successors = Successors.of(context);
    this.renewals = RenewalGrace.of(context.scheduler);
  }

  static of(context: FleetContext): Fleet {
    return new Fleet(context);
  }

  /** Whether the servers have been read from the store or a peer. */
  get loaded(): boolean {
    return this.#loaded;
  }

  get servers(): readonly ServerState[] {
    return [...this.#servers.values()];
  }

  server(id: string): ServerState | undefined {
    return this.#servers.get(id);
  }

  #now(): number {
    return this.#context.scheduler.now();
  }

  /** The usable servers of a service, in no order. */
  candidates(service: string, exclude: readonly string[]): readonly Candidate[] {
    const now = this.#now();
    const zoneSuspect = (entry: ServerEntry) => (
      this.#zoneFailures.suspects(entry, this.heardAt(entry.id), now));
    return candidatesOf({
      service, exclude, servers: this.servers, now, zoneSuspect,
    }, this.#context);
  }

  /** Adds or updates a server from its entry. */
  upsert(entry: ServerEntry, from: string): void {
    this.#loaded = true;
    const prior = this.#servers.get(entry.id);
    const listed = { from, at: this.#now() };
    const state = prior ? withEntry(prior, entry, listed) : serverState(entry, listed);
    if (state === prior) return;
    this.#servers.set(entry.id, state);
    this.#superseded.forget(entry.id);
    if (!prior) this.#supersede(entry);
    if (entry.state === 'leaving') this.#listSuperseded(entry.id);
    const isSame = prior !== undefined && sameProcess(prior.entry, state.entry);
    if (isSame && prior.entry.software !== entry.software) this.#context.onRestart(prior, entry);
    else if (isSame && prior.entry.state === entry.state && prior.expiresAt === undefined) return;
    if (prior && !isSame) {
      this.#context.connections.close(entry.id);
      this.#context.onRestart(prior, entry);
    }
    this.#context.log.event('info', 'server_listed', listedFields(state));
  }

  /** Expires servers that had the same address before. */
  #supersede(entry: ServerEntry): void {
    replacedBy(entry, this.servers).forEach((replaced) => {
      if (replaced.expiresAt === undefined) this.#superseded.record(replaced.entry, entry.id);
      this.#expire(replaced.entry.id, 'superseded');
    });
  }

  /** Lists the servers again in whose place one stood that gets no requests any more. */
  #listSuperseded(by: string): void {
    this.#superseded.take(by).forEach((entry) => this.upsert(entry, 'superseded'));
  }

  /** Called once the store has been read; every entry in it has been passed to `upsert`. */
  markLoaded(): void {
    this.#loaded = true;
  }

  /** Called when an entry is no longer in the store. */
  remove(id: string): void {
    this.#superseded.forget(id);
    const state = this.#servers.get(id);
    const lapsed = this.renewals.remainingMs > 0 && state?.entry.state === 'ready';
    // Before a server that is listed in its place takes it for one that may come back.
    if (!lapsed) this.#expire(id, 'entry_gone');
    this.#listSuperseded(id);
    if (lapsed) this.#expire(id, 'entry_gone', this.#now() + this.renewals.remainingMs);
  }

  /** Called when another server answers at this server's address; other instances are told. */
  markMisdirected(id: string): void {
    this.markLeaving(id, this.#servers.get(id)?.entry.startedAt ?? 0, 'misdirected');
    this.#expire(id, 'misdirected');
    this.#context.onUrgentChange();
  }

  /** Marks a server as gone from a given time on. */
  #expire(id: string, cause: string, until = this.#now()): void {
    const state = this.#servers.get(id);
    if (!state || (state.expiresAt ?? Infinity) <= until) return;
    this.#servers.set(id, { ...state, expiresAt: until });
    const usableMs = Math.round(until - this.#now());
    this.#context.log.event('info', 'server_removed', { server: id, cause, usable_ms: usableMs });
  }

  /** Called when a server is leaving or has left, as another instance or a response reports. */
  markLeaving(id: string, startedAt: number, from: string): void {
    const state = this.#servers.get(id);
    if (!state || state.entry.startedAt > startedAt || state.entry.state === 'leaving') return;
    this.upsert({ ...state.entry, state: 'leaving' }, from);
    if (from === 'response') this.#context.onUrgentChange();
  }

  /** Checks whether this instance reaches a server that another instance can't reach. */
  verifySuspect(id: string, startedAt: number, from: string): void {
    const state = this.#servers.get(id);
    if (!state || state.entry.startedAt !== startedAt || state.health.kind === 'suspect') return;
    this.#probes.verify(state.entry, (accepted) => (accepted
      ? this.markHeard(id, false) : this.markSuspect(id, `reported unreachable by ${from}`, true)));
  }

  /** Runs the cleanup and the probes until the subscription ends. */
  start(): Subscription {
    const { scheduler, connections } = this.#context;
    const running = interval(SWEEP_MS, scheduler).subscribe(() => this.#sweep());
    running.add(this.#probes.run());
    running.add(this.successors.horizon.start());
    running.add(() => connections.closeAll());
    return running;
  }

  /** Forgets servers that are gone and have no requests running. */
  #sweep(): void {
    const now = this.#now();
    this.#servers.forEach((state, id) => {
      if (now < (state.expiresAt ?? Infinity) || state.ownLoad.running > 0) return;
      this.#servers.delete(id);
      this.#lastHeardAt.delete(id);
      this.successors.forget(id);
      this.#context.connections.close(id);
    });
  }

  /** Counts a load as assigned to a server until it is released. */
  assign(id: string, load: Load): Assignment {
    const incarnation = this.#servers.get(id)?.incarnation;
    const assignment = trackAssignment(load, (change) => {
      const state = this.#servers.get(id);
      if (!state || state.incarnation !== incarnation) return;
      this.#servers.set(id, { ...state, ownLoad: addLoad(state.ownLoad, change) });
    });
    if (load.memoryTokens > 0) this.#context.onRoutineChange?.();
    return assignment;
  }

  /** Records whether a request to a server failed, or the duration of its complete response. */
  recordOutcome(id: string, failed: boolean, durationMs?: number): void {
    const state = this.#servers.get(id);
    if (state) this.#servers.set(id, withOutcome(state, failed, durationMs, this.#now()));
  }

  /**
   * Called when somebody has answered, or accepted a connection, at a server's address.
   *
   * @param isOwn whether it is certain that the server itself has answered
   */
  markHeard(id: string, isOwn: boolean): void {
    if (isOwn) this.successors.markSeen(id);
    this.#lastHeardAt.set(id, this.#now());
    this.#markReached(id, 'answer');
  }

  /** When the server was last reached, or somebody else at its address; 0 if never. */
  heardAt(id: string): number {
    return this.#lastHeardAt.get(id) ?? 0;
  }

  /** Marks a server as suspect; others are told at once unless one of them has told it. */
  markSuspect(id: string, reason: string, isReported = false): void {
    const state = this.#servers.get(id);
    if (!state || state.health.kind === 'suspect') return;
    this.#servers.set(id, markSuspect(state, reason, this.#now()));
    this.#zoneFailures.record(state.entry, this.#now());
    if (!isReported) this.#context.onUrgentChange();
    this.#context.connections.close(id);
    const ago = Math.round(this.#now() - this.heardAt(id));
    this.#context.log.event('warn', 'server_suspected', { server: id, reason, heard_ms_ago: ago });
    this.#probes.start(id, () => {
      const current = this.#servers.get(id);
      return current?.health.kind === 'suspect' ? current.entry : undefined;
    }, (found) => this.#handleProcess(id, found));
  }

  #handleProcess(id: string, { identity, startedAt = 0 }: ServerProcess): void {
    this.markStarted(id, startedAt, 'report');
    if (identity.kind === 'known') this.markIdentified(id, identity.id);
    else if (identity.kind !== 'unreached') this.#markReached(id, 'connection');
  }

  /** Called when whoever has a server's address has named its id. */
  markIdentified(id: string, foundId: string): void {
    const server = this.#servers.get(id)?.entry;
    if (!server) return;
    if (foundId === id) this.#markReached(id, 'health');
    else {
      this.#expire(id, 'succeeded');
      const succession = this.successors.identify(id, foundId);
      if (succession && !this.#servers.has(foundId)) {
        this.#addSuccessor(server, succession, 'health');
      }
    }
    if (this.#servers.has(foundId)) this.markHeard(foundId, true);
  }

  /** Called when a server is found to run a process that started later than its entry tells. */
  markStarted(id: string, startedAt: number, from: string): void {
    const state = this.#servers.get(id);
    if (!state || startedAt <= state.entry.startedAt) return;
    if (state.expiresAt !== undefined) this.#expire(id, 'restarted');
    else this.upsert(restartedEntry(state.entry, startedAt), from);
    this.#context.onUrgentChange();
  }

  /** Whether the server accepts a connection now. */
  async check(id: string): Promise<boolean> {
    const entry = this.#servers.get(id)?.entry;
    return entry !== undefined && isReachable(entry, this.#context.connections);
  }

  #addSuccessor(previous: ServerEntry, succession: Succession, from: string): void {
    this.upsert(successorOf(previous, succession.id), from);
    this.successors.record(succession);
    this.#context.onUrgentChange();
  }

  /** Called when another instance reports that a server restarted under a new id. */
  adoptSuccession(reported: Succession, from: string): void {
    const { previousId, id } = reported;
    const state = this.#servers.get(previousId);
    if (!state || this.#servers.has(id) || state.expiresAt !== undefined) return;
    const succession = this.successors.verify(reported);
    if (!succession) return;
    this.#expire(previousId, 'succeeded');
    this.#addSuccessor(state.entry, succession, from);
  }

  #markReached(id: string, by: string): void {
    const state = this.#servers.get(id);
    if (!state || state.health.kind === 'up') return;
    const afterMs = Math.round(this.#now() - state.health.since);
    this.#servers.set(id, markReached(state));
    this.#context.log.event('info', 'server_reached', { server: id, by, after_ms: afterMs });
  }
}
