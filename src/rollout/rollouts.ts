/**
 * Rollouts as one instance knows and decides them: its orders, the evidence, and which versions its
 * requests may be offered. Holds no clock and does no input or output, so that tests can drive
 * several instances through any order of events.
 */
import type { Random } from '../common/random.js';
import { epochOf } from '../store/epoch.js';
import { countInstances, HEARING_MS } from './deciding.js';
import type { Instances } from './deciding.js';
import { decodeRow, encodeRow, Ledger } from './evidence.js';
import type { Side } from './evidence.js';
import { mayExpose } from './exposure.js';
import type { Bounds } from './exposure.js';
import { preferences } from './offer.js';
import type { OfferedSide, RequestKind } from './offer.js';
import { evidenceKey, sighted, withdrawn } from './order.js';
import type { OrderRecord, Sighted, Sighting } from './order.js';
import { rampShare, settledPhase } from './phase.js';
import { beginProgress, step } from './progress.js';
import type { Progress, RolloutEffect, ServiceView } from './progress.js';
import {
  decodeConfirmed, decodeOrder, encodeConfirmed, encodeOrder,
} from './report.js';
import type { OrderReport } from './report.js';
import { judge } from './verdict.js';

/** Services with an order. */
const MAX_ORDERS = 64;
/** A message may have been on its way, or waited in the process, for a time. */
const MESSAGE_AGE_MS = 500;
/** Of the time in which a bad version has to be left; instances learn of it within the rest. */
const BOUND_GRACE_SHARE = 0.4;
/** Rows of evidence in a message: a part of this process's and of the others'. */
const MAX_OWN_TOLD = 4;
const MAX_OTHERS_TOLD = 2;

/** A status that an instance writes. */
export type StatusWrite = Extract<RolloutEffect, { kind: 'write' }>;

export interface RolloutsOptions {
  /** The identity under which this process counts. */
  readonly process: string;
  readonly bounds: Bounds;
  readonly random: Random;
  readonly startedAt: number;
  /** Instances that the settings name, this one included. */
  readonly seeded: number;
}

export class Rollouts {
  readonly #options: RolloutsOptions;

  readonly #ledger: Ledger;

  readonly #progress = new Map<string, Progress>();

  #confirmedAt = -Infinity;

  #epoch = 0;

  #hearingSince: number;

  /** One that is cut off has no larger part of the slack than before. */
  #mostInstances: number;

  #instances: Instances = { count: 1, peak: 1, peakAt: 0 };

  private constructor(options: RolloutsOptions) {
    this.#options = options;
    this.#ledger = Ledger.of(options.process);
    this.#hearingSince = options.startedAt;
    this.#mostInstances = options.seeded;
  }

  static of(options: RolloutsOptions): Rollouts {
    return new Rollouts(options);
  }

  /** Since when no order is missing from those known. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  get orders(): readonly Progress[] {
    return [...this.#progress.values()];
  }

  order(service: string): Progress | undefined {
    return this.#progress.get(service);
  }

  confirm(at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, at);
  }

  /** The store or another instance tells of an order. */
  sight(sighting: Sighting, now: number): readonly RolloutEffect[] {
    const { service } = sighting.order;
    if (sighting.round === undefined) this.#noteEpoch(sighting.version, now);
    const known = this.#progress.get(service);
    if (!known && this.#progress.size >= MAX_ORDERS) return [];
    return this.#apply(service, sighted(known?.record, sighting, now));
  }

  /** The store holds no order of a service any more. */
  remove(service: string, version: number, now: number): readonly RolloutEffect[] {
    this.#noteEpoch(version, now);
    const known = this.#progress.get(service);
    if (!known) return [];
    return this.#apply(service, withdrawn(known.record, version));
  }

  #noteEpoch(version: number, now: number): void {
    if (epochOf(version) > this.#epoch && this.#epoch > 0) this.#hearingSince = now;
    this.#epoch = Math.max(this.#epoch, epochOf(version));
  }

  #begun(record: OrderRecord): Progress {
    return beginProgress(record, this.#options.random.fraction());
  }

  #apply(service: string, { record, finding }: Sighted): readonly RolloutEffect[] {
    const known = this.#progress.get(service);
    const key = evidenceKey(record);
    const isNew = !known || evidenceKey(known.record) !== key
      || known.record.order.durationMs !== record.order.durationMs;
    if (isNew) this.#ledger.retain((row) => row.service !== service || row.key === key);
    this.#progress.set(service, isNew ? this.#begun(record) : { ...known, record });
    const fields = {
      service, target: record.order.target, state: record.state, round: record.round,
    };
    const found: RolloutEffect[] = finding ? [{
      kind: 'log', level: 'warn', event: 'rollout_finding', fields: { ...fields, finding },
    }] : [];
    return isNew ? [...found, {
      kind: 'log',
      level: 'info',
      event: 'rollout_order',
      fields: { ...fields, duration_ms: record.order.durationMs },
    }] : found;
  }

  /** Takes in the entries of another instance's message. */
  adopt(entries: readonly unknown[], from: string, now: number): readonly RolloutEffect[] {
    return entries.flatMap((entry) => {
      switch (Array.isArray(entry) ? entry[0] : undefined) {
        case 'c': {
          const ageMs = decodeConfirmed(entry);
          if (ageMs !== undefined) this.confirm(now - ageMs - MESSAGE_AGE_MS);
          return [];
        }
        case 'e': {
          const row = decodeRow(entry);
          const order = row && this.#progress.get(row.service);
          if (order && evidenceKey(order.record) === row.key) this.#ledger.adopt(row);
          return [];
        }
        case 'o': {
          const report = decodeOrder(entry, now);
          return report ? this.#adoptOrder(report, from, now) : [];
        }
        default: return [];
      }
    });
  }

  #adoptOrder(
    {
      sighting, isClear, longestMs, phase,
    }: OrderReport,
    from: string,
    now: number,
  ): readonly RolloutEffect[] {
    const effects = this.sight(sighting, now);
    const progress = this.#progress.get(sighting.order.service);
    if (!progress || evidenceKey(progress.record) !== evidenceKey(sighting)) return effects;
    this.#progress.set(sighting.order.service, {
      ...progress,
      longestMs: Math.max(progress.longestMs, longestMs),
      peers: new Map(progress.peers).set(from, { isClear, phase }),
    });
    return effects;
  }

  /** Entries for a message to other instances; several messages together carry all evidence. */
  reports(now: number): readonly unknown[] {
    if (this.#confirmedAt === -Infinity && this.#progress.size === 0) return [];
    const { random } = this.#options;
    const confirmed = this.#confirmedAt > -Infinity
      ? [encodeConfirmed(now - this.#confirmedAt)] : [];
    return [
      ...confirmed,
      ...this.orders.map((progress) => encodeOrder(progress.record, progress, now)),
      ...random.shuffled(this.#ledger.own).slice(0, MAX_OWN_TOLD).map(encodeRow),
      ...random.shuffled(this.#ledger.others).slice(0, MAX_OTHERS_TOLD).map(encodeRow),
    ];
  }

  /**
   * The sides that a request may be offered, the preferred one first.
   *
   * @param hasOthers whether the service has servers of other versions
   */
  preferences(
    service: string,
    { kind, route }: { readonly kind: RequestKind; readonly route: string },
    hasOthers: boolean,
    now: number,
  ): readonly OfferedSide[] | undefined {
    const progress = this.#progress.get(service);
    if (!progress) return undefined;
    const { record, exposure, movingSince = now } = progress;
    const phase = settledPhase(record) ?? progress.phase;
    if (phase === 'free') return undefined;
    const isRare = !progress.verdict.knownRoutes.includes(route);
    const chance = this.#options.random.fraction();
    const { bounds, startedAt } = this.#options;
    const instances = now - startedAt >= HEARING_MS ? this.#mostInstances : Infinity;
    return preferences({
      phase,
      kind,
      hasOthers,
      boundGraceMs: bounds.rollbackMs * BOUND_GRACE_SHARE,
      badMs: record.badAt === undefined ? undefined : now - record.badAt,
      mayExpose: mayExpose(exposure, bounds, instances, now - record.bornAt, chance, isRare),
      mayMove: chance < rampShare(now - movingSince),
      isMovingWhole: rampShare(now - movingSince) === 1,
    });
  }

  /** Counts a request that is sent to a server. */
  send(service: string, version: string, isFirst: boolean): void {
    const progress = this.#progress.get(service);
    if (!progress) return;
    const { exposure } = progress;
    this.#progress.set(service, {
      ...progress,
      exposure: {
        ...exposure,
        requests: exposure.requests + (isFirst ? 1 : 0),
        exposed: exposure.exposed + (version === progress.record.order.target ? 1 : 0),
      },
    });
  }

  /** Counts what an answer says of the version that gave it. */
  observe(service: string, version: string, route: string, change: Side): void {
    const progress = this.#progress.get(service);
    if (!progress) return;
    const side = version === progress.record.order.target ? 'target' : 'others';
    this.#ledger.add({ service, key: evidenceKey(progress.record), route }, side, change);
  }

  /** Records how long a request of a service took. */
  finish(service: string, ms: number): void {
    const progress = this.#progress.get(service);
    if (!progress || ms <= progress.longestMs) return;
    this.#progress.set(service, { ...progress, longestMs: ms });
  }

  /**
   * The next step of every order; called several times a second.
   *
   * @param alive addresses of the other live instances
   */
  tick(
    view: (service: string, target: string) => ServiceView,
    { rank, alive }: { readonly rank: number; readonly alive: readonly string[] },
    now: number,
  ): readonly RolloutEffect[] {
    this.#mostInstances = Math.max(this.#mostInstances, alive.length + 1);
    this.#instances = countInstances(this.#instances, alive.length + 1, now);
    const effects = [...this.#progress].flatMap(([service, progress]) => {
      const key = evidenceKey(progress.record);
      const { progress: next, effects: own } = step(progress, {
        view: view(service, progress.record.order.target),
        verdict: this.#ledger.isChanged ? judge(this.#ledger.of(service, key)) : progress.verdict,
        alive,
        rank,
        instances: this.#instances.count,
        peakInstances: this.#instances.peak,
        hearingSince: this.#hearingSince,
        now,
      });
      this.#progress.set(service, next);
      return own;
    });
    this.#ledger.markJudged();
    return effects;
  }

  /** Called when a write of a status has succeeded; `version` is the object's new one. */
  written({ service, status, target }: StatusWrite, version: number, now: number): void {
    const progress = this.#progress.get(service);
    if (!progress || progress.record.order.target !== target) return;
    this.sight({
      ...progress.record, state: status, version, round: undefined,
    }, now);
  }
}
