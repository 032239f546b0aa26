/**
 * Connects rollouts to the relay: takes orders from the store and from other instances, offers each
 * request the servers that it may be sent to, judges what they answer, and writes the status of
 * orders. Does nothing where the settings hold no bounds of rollouts.
 */
import { interval, Subscription, timer } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import { BURST_SHARE, canaryServers } from '../rollout/exposure.js';
import { OrderFeed } from '../rollout/feed.js';
import { NewVersions } from '../rollout/newversions.js';
import type { OfferedSide, RequestKind } from '../rollout/offer.js';
import { rampShare } from '../rollout/phase.js';
import type { Progress, RolloutEffect } from '../rollout/progress.js';
import { Rollouts } from '../rollout/rollouts.js';
import type { StatusWrite } from '../rollout/rollouts.js';
import { CountedTrial, NO_TRIAL } from '../rollout/trial.js';
import type { Trial } from '../rollout/trial.js';
import type { FollowEvent } from '../store/follow.js';
import type { ObjectReader, StoredObject } from '../store/objects.js';
import type { Call } from './call.js';
import type { Fleet } from './fleet.js';
import type { PeerLoads } from './fleetcontext.js';
import type { Meter } from './meter.js';
import type { OrderPlatform } from './platform.js';
import { isUnread, serviceView, versionOf } from './rolloutview.js';
import type { Candidate } from './selection.js';
import type { ServerEntry } from './serverentry.js';
import { isUsable } from './serverstate.js';
import type { ServerState } from './serverstate.js';
import type { RelaySettings } from './settings.js';

const TICK_MS = 250;
/** A server that was ended from outside is known not to be reached within this time. */
const BROKEN_CHECK_MS = 1_000;
/** Without the store for this long, a version that has just appeared is used if no other runs. */
const UNCONFIRMED_MS = 10_000;
const MAX_PROCESS = 0x7fff_ffff;
const PROCESS_RADIX = 36;

export interface RelayRolloutsContext {
  readonly settings: RelaySettings;
  /** Undefined on platforms without rollouts. */
  readonly orders: OrderPlatform | undefined;
  readonly reader: () => ObjectReader;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  readonly log: Log;
  readonly meter: Meter;
  readonly fleet: Fleet;
  readonly peerLoads: PeerLoads;
  /** IP addresses of the other live instances. */
  readonly alive: () => readonly string[];
  readonly onUrgentChange: () => void;
}

export class RelayRollouts {
  readonly #context: RelayRolloutsContext;

  /** Undefined where there are no rollouts. */
  readonly #rollouts: Rollouts | undefined;

  readonly #newVersions = NewVersions.of();

  private constructor(context: RelayRolloutsContext) {
    const {
      settings, orders, random, scheduler,
    } = context;
    const { rollouts } = settings;
    this.#context = context;
    this.#rollouts = rollouts && orders && rollouts.share > 0 ? Rollouts.of({
      process: random.integer(0, MAX_PROCESS).toString(PROCESS_RADIX),
      bounds: rollouts,
      random,
      startedAt: scheduler.now(),
      seeded: settings.seeds.length + 1,
    }) : undefined;
  }

  static of(context: RelayRolloutsContext): RelayRollouts {
    return new RelayRollouts(context);
  }

  #now(): number {
    return this.#context.scheduler.now();
  }

  /** Follows and decides orders until the subscription ends. */
  start(): Subscription {
    const rollouts = this.#rollouts;
    const { orders, reader, scheduler } = this.#context;
    if (!rollouts || !orders) return new Subscription();
    const feed = OrderFeed.of({
      ...this.#context,
      kind: orders.kind,
      reader: reader(),
      onEvent: (event) => this.#onStoreEvent(event, rollouts, orders),
    });
    const adjust = () => feed.adjust(this.#rank, this.#now() - rollouts.confirmedAt);
    const running = interval(TICK_MS, scheduler).subscribe(() => {
      adjust();
      const alive = this.#context.alive();
      const { fleet: { servers }, peerLoads } = this.#context;
      const view = (service: string, target: string) => serviceView({
        service, target, servers, peerLoads, now: this.#now(),
      });
      this.#perform(rollouts.tick(view, { rank: this.#rank, alive }, this.#now()));
    });
    adjust();
    running.add(() => feed.stop());
    return running;
  }

  /** Entries for a message to other instances. */
  get reports(): readonly unknown[] {
    return this.#rollouts?.reports(this.#now()) ?? [];
  }

  /** Takes in another instance's entries. */
  adopt(entries: readonly unknown[], from: string): void {
    this.#perform(this.#rollouts?.adopt(entries, from, this.#now()) ?? []);
  }

  /** Place of this instance among the live ones, in the order of addresses. */
  get #rank(): number {
    const { alive, settings: { ip } } = this.#context;
    return alive().filter((other) => other < ip).length;
  }

  #onStoreEvent(event: FollowEvent, rollouts: Rollouts, orders: OrderPlatform): void {
    const now = this.#now();
    switch (event.kind) {
      case 'heard':
        rollouts.confirm(event.at);
        break;
      case 'lost': break;
      case 'put':
        this.#onObject(event.object, rollouts, orders);
        break;
      case 'delete':
        this.#perform(rollouts.remove(event.name, event.version, now));
        break;
    }
  }

  #onObject(object: StoredObject, rollouts: Rollouts, orders: OrderPlatform): void {
    const now = this.#now();
    const { name, version } = object;
    orders.readOrder(object).match((stored) => this.#perform(rollouts.sight({
      ...stored, version, bornAt: now, round: undefined, isBad: false, isWithdrawn: false,
    }, now)), (reason) => this.#perform([{
      kind: 'log',
      level: 'warn',
      event: 'rollout_finding',
      fields: { service: name, finding: 'unreadable', reason },
    }, ...rollouts.remove(name, version, now)]));
  }

  #perform(effects: readonly RolloutEffect[]): void {
    const { log, meter, onUrgentChange } = this.#context;
    effects.forEach((effect) => {
      switch (effect.kind) {
        case 'log':
          log.event(effect.level, effect.event, effect.fields);
          meter.record({
            kind: 'rollout',
            event: String(effect.fields.finding ?? effect.fields.phase ?? 'order'),
          });
          onUrgentChange();
          break;
        case 'write':
          this.#write(effect).catch((error: unknown) => this.#logWrite(effect, String(error)));
          break;
      }
    });
  }

  async #write(write: StatusWrite): Promise<void> {
    const { orders } = this.#context;
    if (!orders || !this.#rollouts) return;
    const result = await orders.writeStatus(write);
    result.match((object) => {
      this.#logWrite(write, 'ok');
      this.#rollouts?.written(write, object?.version ?? write.version, this.#now());
      this.#context.onUrgentChange();
    }, ({ code, message, current }) => {
      this.#logWrite(write, `${code}: ${message}`);
      if (current && this.#rollouts) this.#onObject(current, this.#rollouts, orders);
    });
  }

  #logWrite({ service, target, status }: StatusWrite, outcome: string): void {
    const level = outcome === 'ok' ? 'info' : 'warn';
    this.#context.log.event(level, 'rollout_status', {
      service, target, status, outcome,
    });
  }

  #servers(service: string): readonly ServerState[] {
    const now = this.#now();
    return this.#context.fleet.servers.filter(({ entry, expiresAt }) => (
      entry.service === service && now < (expiresAt ?? Infinity)));
  }

  /**
   * The servers that a request may be sent to, in lists of which each is used only where none of
   * the one before has room.
   */
  offers(
    { service: { name: service }, route }: Call,
    candidates: readonly Candidate[],
    kind: RequestKind,
  ): readonly (readonly Candidate[])[] {
    if (!this.#rollouts) return [candidates];
    const now = this.#now();
    const progress = this.#rollouts.order(service);
    const target = progress?.record.order.target;
    const barred = progress?.record.barred ?? [];
    const listed = this.#servers(service).map(({ entry }) => entry);
    const running = listed.filter((entry) => versionOf(entry) !== target && !isUnread(entry))
      .map((entry) => ({ version: versionOf(entry), startedAt: entry.startedAt }));
    const usable = this.#newVersions.usable(service, running, this.#rollouts.confirmedAt, now)
      .filter((version) => !barred.includes(version));
    // One that was restarted may run the target, which only its own entry tells.
    const others = candidates.filter(({ server: { entry } }) => (
      isUnread(entry) ? !progress : usable.includes(versionOf(entry))));
    const sides = progress && this.#rollouts.preferences(
      service,
      { kind, route: route.name },
      usable.length > 0,
      now,
    );
    if (progress && sides) {
      return this.#sides(sides, progress, { kind, candidates, others });
    }
    const isSilent = now - this.#rollouts.confirmedAt > UNCONFIRMED_MS;
    return others.length === 0 && isSilent ? [candidates] : [others];
  }

  #sides(
    sides: readonly OfferedSide[],
    { record: { order: { target } }, phase, movingSince }: Progress,
    { kind, candidates, others }: {
      readonly kind: RequestKind;
      readonly candidates: readonly Candidate[];
      readonly others: readonly Candidate[];
    },
  ): readonly (readonly Candidate[])[] {
    const now = this.#now();
    const all = candidates.filter(({ server: { entry } }) => versionOf(entry) === target);
    const share = phase === 'canary' ? BURST_SHARE : rampShare(now - (movingSince ?? now));
    const isPart = (phase === 'canary' || phase === 'moving') && share < 1
      && kind !== 'bound' && others.length > 0;
    const kept = isPart ? canaryServers(
      all.map(({ server: { entry } }) => entry),
      others.length,
      share,
    ).map(({ id }) => id) : undefined;
    const targets = all.filter(({ server }) => kept?.includes(server.entry.id) ?? true);
    return sides.map((side) => (side === 'target' ? targets : others));
  }

  /** Counts an attempt that is sent to a server, and what it says of the server's version. */
  trial(
    { route }: Call,
    entry: ServerEntry,
    expectedMs: number,
    isFirst: boolean,
  ): Trial {
    const rollouts = this.#rollouts;
    const { service } = entry;
    const version = versionOf(entry);
    if (!rollouts?.order(service)) return NO_TRIAL;
    const { scheduler, fleet } = this.#context;
    const incarnation = fleet.server(entry.id)?.incarnation;
    rollouts.send(service, version, isFirst);
    return CountedTrial.of({
      now: () => scheduler.now(),
      expectedMs,
      observe: (change) => rollouts.observe(service, version, route.name, change),
      finished: (ms) => rollouts.finish(service, ms),
      ifServerLives: (confirmed) => timer(BROKEN_CHECK_MS, scheduler).subscribe(() => {
        const server = fleet.server(entry.id);
        if (server?.incarnation === incarnation && server && isUsable(server, scheduler.now())) {
          confirmed();
        }
      }),
    });
  }
}
