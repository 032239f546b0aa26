/**
 * Places models while this instance holds the placement lease: every period it makes a plan from
 * the engines' reports and sends the plan's orders. The decisions are made in `plan`, `orders` and
 * `lease`, which have no side effects; this module does the I/O, and checks the lease again
 * immediately before it sends each order.
 */
import { ignoreElements, tap, timer } from 'rxjs';
import type { Observable, SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Configuration } from '../configuration/configuration.js';
import type { Child } from '../common/supervisor.js';
import type { Directory } from '../engines/directory.js';
import type { FencedOrder, Order, OrderOutcome } from '../engines/engine.js';
import type { MembershipView } from '../membership/instances.js';
import type { SoftState } from '../membership/softstate.js';
import {
  totalDemand, MODEL_DEMAND_KEY, OLD_STREAMS_KEY, oldStreamCounts,
} from './demand.js';
import type { Decision } from './inventory.js';
import type { LeaseGrant } from './lease.js';
import {
  noOutstandingOrders, engineStates, loadAllowance, withOutcome, withSentOrder,
} from './orders.js';
import type { OutstandingOrders } from './orders.js';
import { planOf } from './plan.js';
import type { BlockedModel } from './plancontext.js';

const PLAN_PERIOD_MS = 1_000;
/** No order is sent when the lease has less time left than this. */
const MIN_REMAINING_MS = 200;

/** Tells the controller, before it plans and before each order, whether the lease is held. */
export interface GrantSource { grant(): LeaseGrant | undefined }

export interface ControllerOptions {
  readonly lease: GrantSource;
  readonly directory: Directory;
  readonly membership: MembershipView;
  readonly softState: SoftState;
  readonly scheduler: SchedulerLike;
  readonly log: Log;
  readonly configuration: () => Configuration;
}

function orderText(order: Order): string {
  switch (order.kind) {
    case 'load':
    case 'unload': return `${order.kind} ${order.model}@${order.version}`;
    case 'load_adapter':
    case 'unload_adapter':
      return `${order.kind} ${order.model}@${order.version} ${order.adapter}`;
    case 'role': return `role ${order.role}`;
  }
}

export class PlacementController implements Child {
  readonly name = 'placement';

  readonly run: Observable<never>;

  readonly #options: ControllerOptions;

  #orders: OutstandingOrders | undefined;

  #blocked = '';

  private constructor(options: ControllerOptions) {
    this.#options = options;
    this.run = timer(0, PLAN_PERIOD_MS, options.scheduler).pipe(
      tap(() => this.#plan()),
      ignoreElements(),
    );
  }

  static of(options: ControllerOptions): PlacementController {
    return new PlacementController(options);
  }

  #plan(): void {
    const { lease, directory, scheduler } = this.#options;
    const configuration = this.#options.configuration();
    const { placement, revision } = configuration;
    const grant = lease.grant();
    if (!grant || !placement.enabled || revision === 0) {
      this.#orders = undefined;
      return;
    }
    const now = scheduler.now();
    this.#orders ??= noOutstandingOrders(placement, now);
    const engines = engineStates(
      this.#orders,
      directory.engines(),
      grant.earlierOrdersExpireAt,
      now,
    );
    const { decisions, blocked } = planOf({
      configuration,
      engines,
      ...this.#sharedDemand(revision),
      loads: loadAllowance(this.#orders, engines, placement, now),
    });
    this.#logBlocked(blocked);
    decisions.forEach((decision) => this.#send(decision));
  }

  #sharedDemand(revision: number) {
    const { softState, membership } = this.#options;
    return {
      demand: totalDemand(softState.entries(MODEL_DEMAND_KEY)),
      streams: oldStreamCounts(softState.entries(OLD_STREAMS_KEY), membership.current(), revision),
    };
  }

  /** Sends one order if the lease is still held; the order expires no later than the lease. */
  #send(decision: Decision): void {
    const { lease, directory, scheduler } = this.#options;
    const { placement } = this.#options.configuration();
    const view = directory.engine(decision.server);
    const grant = lease.grant();
    const mayOrder = grant && grant.remainingMs >= MIN_REMAINING_MS
      && (grant.earlierOrdersExpired || view?.server.checksFence);
    if (!view || !this.#orders || !mayOrder) return;
    const fenced: FencedOrder = {
      order: decision.order,
      fence: grant.fence,
      validForMs: Math.floor(Math.min(grant.orderMs, grant.remainingMs)),
    };
    this.#orders = withSentOrder(
      this.#orders,
      decision,
      fenced.validForMs,
      placement,
      scheduler.now(),
    );
    this.#logOrder(decision, fenced);
    view.client.order(fenced).then(
      (outcome) => this.#handleOutcome(decision, outcome),
      () => this.#handleOutcome(decision, 'unknown'),
    );
  }

  #handleOutcome(decision: Decision, outcome: OrderOutcome): void {
    const { scheduler, log } = this.#options;
    if (this.#orders) this.#orders = withOutcome(this.#orders, decision, outcome, scheduler.now());
    if (outcome === 'accepted') return;
    log.event('warn', 'placement_order_failed', {
      server: decision.server, order: orderText(decision.order), outcome,
    });
  }

  #logOrder(decision: Decision, { fence, validForMs }: FencedOrder): void {
    this.#options.log.event('info', 'placement', {
      server: decision.server,
      order: orderText(decision.order),
      reason: decision.reason,
      fence,
      valid_ms: validForMs,
    });
  }

  /** Logs the models that can't be placed, each time the list changes. */
  #logBlocked(blocked: readonly BlockedModel[]): void {
    const text = blocked
      .map(({ model, missing, reason }) => `${model}:${missing}:${reason}`).join(',');
    if (text !== this.#blocked) {
      this.#options.log.event('info', 'placement_blocked', { missing: text || 'none' });
    }
    this.#blocked = text;
  }
}
