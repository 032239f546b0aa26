/**
 * One instance of the system, assembled from its parts. Every outside dependency comes from the
 * adapters, so that tests can run several instances in one process on one virtual clock.
 */
import { err } from 'neverthrow';
import type { Observable } from 'rxjs';
import { DecisionLog } from '../admin/decisions.js';
import { ControlMetrics } from '../admin/metrics.js';
import { ClaimLedger } from '../claims/ledger.js';
import { childOfSubscription, Supervisor } from '../common/supervisor.js';
import type { Configuration } from '../configuration/configuration.js';
import { Publisher } from '../configuration/publisher.js';
import { EngineMonitor } from '../engines/monitor.js';
import { Drain } from '../entry/drain.js';
import type { DrainOptions } from '../entry/drain.js';
import { Gateway } from '../entry/gateway.js';
import { RequestMetrics } from '../entry/metrics.js';
import { WorkspaceLimiter } from '../limits/admission.js';
import { Heartbeats } from '../membership/heartbeats.js';
import type { PeerHandlers } from '../membership/peerserver.js';
import { PlacementController } from '../placement/controller.js';
import { LeaseRunner } from '../placement/leaserunner.js';
import { Router } from '../routing/router.js';
import type { AdmissionControl } from '../routing/router.js';
import { FLEET_RATES, shareOf } from '../store/budget.js';
import { MeteredObjects } from '../store/meteredobjects.js';
import { RateLimitedObjects } from '../store/ratelimited.js';
import type { Adapters } from './adapters.js';
import { claimHandler, claimPeers } from './claimpeers.js';
import { ConfigurationFeed } from './configurationfeed.js';
import { controlView } from './controlview.js';
import { followCrashes, sharedCrashes } from './crashexchange.js';
import { DemandReport } from './demandreport.js';
import { Isolation } from './isolation.js';
import { LeavingServers } from './leavingservers.js';
import { LoopLag } from './looplag.js';
import { RequestHistory } from './requesthistory.js';
import { shareExchange } from './shareexchange.js';

/** Number of members besides the holder, by name, that are the first to take a lapsed lease. */
const LEASE_STANDBYS = 1;
const NOT_READY_RETRY_MS = 1_000;
/** Soft-state key that an instance sets while an administrator has drained it. */
export const DRAINED_KEY = 'resting';

export interface InstanceSettings {
  readonly name: string;
  readonly zone: string;
  /** `host:port` of the listener for other daemons; the host is an IP address. */
  readonly peerAddress: string;
  /** Signs cursors; the same on every instance. Without it, answers carry no cursors. */
  readonly cursorKey?: string;
  readonly drain?: DrainOptions;
}

export class Instance {
  readonly settings: InstanceSettings;

  readonly gateway: Gateway;

  readonly publisher: Publisher;

  readonly heartbeats: Heartbeats;

  readonly feed: ConfigurationFeed;

  readonly monitor: EngineMonitor;

  readonly router: Router;

  readonly workspaces: WorkspaceLimiter;

  readonly lease: LeaseRunner;

  readonly drain: Drain;

  readonly metrics = RequestMetrics.of();

  readonly decisions: DecisionLog;

  readonly history: RequestHistory;

  readonly loopLag: LoopLag;

  /** Handlers of calls from peers. */
  readonly handlers: PeerHandlers;

  /** The supervisor tree; the instance runs while this is subscribed to. */
  readonly run: Observable<never>;

  readonly #isolation: Isolation;

  #drained = false;

  private constructor(settings: InstanceSettings, adapters: Adapters) {
    const {
      scheduler, random, wallClock, list, network,
    } = adapters;
    const { name, zone, peerAddress } = settings;
    this.settings = settings;
    this.decisions = DecisionLog.of(adapters.log, scheduler);
    const log = this.decisions;
    const incarnation = wallClock();
    this.loopLag = LoopLag.of(scheduler);
    const meter = ControlMetrics.of(this.metrics.registry, () => controlView(this));
    const metered = MeteredObjects.of(adapters.objects, scheduler, (call) => meter.storeCall(call));
    const objects = RateLimitedObjects.of(metered, { scheduler, random });
    this.heartbeats = Heartbeats.of({
      identity: {
        name, zone, peerAddress, incarnation,
      },
      list,
      network,
      scheduler,
      random,
      log,
    });
    const { softState } = this.heartbeats;
    this.history = RequestHistory.of({
      name, decisions: this.decisions, membership: this.heartbeats, network,
    });
    this.feed = ConfigurationFeed.of({
      name, objects, heartbeats: this.heartbeats, network, scheduler, random, log,
    });
    const configuration = () => this.feed.current;
    const claims = ClaimLedger.of({
      name,
      api: objects,
      peers: claimPeers(this.heartbeats, network),
      members: () => this.#aliveNames(),
      scheduler,
      random,
      wallClock,
    });
    this.publisher = Publisher.of({
      api: objects, scheduler, random, wallClock,
    });
    this.monitor = EngineMonitor.of(adapters.dial, scheduler, log);
    const leaving = LeavingServers.of(this.monitor, softState);
    this.workspaces = WorkspaceLimiter.of({
      name,
      incarnation,
      configuration,
      exchange: shareExchange(this.heartbeats, name),
      scheduler,
      random,
      log,
    });
    this.router = Router.of({
      directory: this.monitor,
      configurations: this.feed.changes,
      admissions: this.#refuseWhileIsolated(this.workspaces),
      scheduler,
      random,
      log,
      leaving: () => leaving.current,
      daemons: () => this.heartbeats.current().length,
      zone,
    });
    const demand = DemandReport.of(this.router);
    this.#isolation = Isolation.of({
      objects,
      scheduler,
      log,
      hasPeers: () => this.heartbeats.expectsPeers,
      peerHeardAt: () => this.heartbeats.lastContactAt(),
      storeSilentMs: () => this.feed.status.storeSilentMs,
    });
    this.lease = LeaseRunner.of({
      holder: name,
      incarnation,
      objects,
      scheduler,
      wallClock,
      random,
      log,
      placement: () => configuration().placement,
      candidate: () => this.#isLeaseCandidate(),
    });
    const controller = PlacementController.of({
      lease: this.lease,
      directory: this.monitor,
      membership: this.heartbeats,
      softState,
      scheduler,
      log,
      configuration,
    });
    this.drain = Drain.of(scheduler, log, settings.drain);
    const crashes = sharedCrashes(softState, { scheduler, log, instance: name });
    this.gateway = Gateway.of({
      dispatcher: demand,
      directory: this.monitor,
      watcher: this.monitor,
      meter: this.metrics,
      scheduler,
      log,
      configuration,
      claims,
      crashes,
      ...(settings.cursorKey === undefined ? {} : { cursorKey: settings.cursorKey }),
    });
    this.handlers = {
      heartbeat: (request) => this.heartbeats.receive(request),
      claim: claimHandler(claims),
      configuration: async () => this.feed.text(),
      why: this.history.handler,
    };
    const context = { scheduler, random, log };
    const requests = Supervisor.of('requests', [
      childOfSubscription('engines', () => this.monitor.start(this.feed.changes)),
      childOfSubscription('router', () => this.router.start()),
      childOfSubscription('workspaces', () => this.workspaces.start()),
    ], context);
    const control = Supervisor.of('control', [
      childOfSubscription('configuration', () => this.feed.start()),
      this.heartbeats,
      childOfSubscription('demand', () => demand.start(softState, configuration, scheduler)),
      childOfSubscription('leaving', () => leaving.start(scheduler)),
      childOfSubscription('crashes', () => followCrashes(softState, crashes, name)),
      childOfSubscription('store_budget', () => this.heartbeats.members.subscribe((members) => {
        objects.setRates(shareOf(FLEET_RATES, members.length, claims.homeShare));
      })),
      childOfSubscription('isolation', () => this.#isolation.start()),
      childOfSubscription('loop_lag', () => this.loopLag.start()),
      this.lease,
      controller,
    ], context);
    this.run = Supervisor.of('instance', [requests, control], context).run;
  }

  static of(settings: InstanceSettings, adapters: Adapters): Instance {
    return new Instance(settings, adapters);
  }

  get configuration(): Configuration {
    return this.feed.current;
  }

  /** Whether an administrator has taken the instance out of the balancer. */
  get drained(): boolean {
    return this.#drained;
  }

  /** Whether the instance reaches neither the object API nor any peer. */
  get isolated(): boolean {
    return this.#isolation.isolated;
  }

  /** Whether the balancer may send requests here. */
  get ready(): boolean {
    return this.feed.ready && this.drain.state === 'serving' && !this.#isolation.isolated
      && !this.#drained;
  }

  /** Drains the instance or puts it back; requests that still arrive are served. */
  setDrained(drained: boolean): void {
    this.#drained = drained;
    this.heartbeats.softState.publish(DRAINED_KEY, drained || undefined);
    this.decisions.event('info', 'rest', { resting: drained });
  }

  /** Leaves the membership and the balancer; the process may exit once `drain.ended` emits. */
  leave(): void {
    this.heartbeats.leave();
    this.lease.release();
    this.drain.begin();
  }

  #refuseWhileIsolated(admissions: AdmissionControl): AdmissionControl {
    return {
      admit: (workspace) => {
        if (this.#isolation.isolated) {
          return err({
            code: 'not_ready',
            message: 'the instance is isolated and may not have the configuration in force',
            ran: 'no',
            retryAfterMs: NOT_READY_RETRY_MS,
          });
        }
        return admissions.admit(workspace);
      },
    };
  }

  #isLeaseCandidate(): boolean {
    const { name } = this.settings;
    const { holder } = this.lease.view();
    const others = this.#aliveNames().filter((other) => other !== holder);
    return this.drain.state === 'serving'
      && (holder === name || others.slice(0, LEASE_STANDBYS).includes(name));
  }

  #aliveNames(): readonly string[] {
    return this.heartbeats.current().filter(({ state }) => state === 'alive')
      .map(({ name }) => name);
  }
}
