/** Adapters through which a daemon under test reaches the others over the fake network. */
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import {
  concatMap, defer, EMPTY, of, takeWhile,
} from 'rxjs';
import type { Observable } from 'rxjs';
import type { Random } from '../../src/common/random.js';
import type {
  CacheEvent, EngineClient, EngineEvent, LoadReport,
} from '../../src/engines/engine.js';
import type { PeerHandlers } from '../../src/membership/peerserver.js';
import type { InstanceList, ListedInstance, PeerNetwork } from '../../src/membership/instances.js';
import type { PeerRequest } from '../../src/membership/message.js';
import type { StandInEngine } from '../../src/standin/engine.js';
import type { ObjectApi, StoreError } from '../../src/store/objects.js';
import type { ConnectionFailure, Network } from './network.js';

const CANCEL_DEADLINE_MS = 1_000;
const STORE_DEADLINE_MS = 1_000;

/** Network names of the object store and the instance list. */
export const STORE = 'store';
export const LIST = 'list';

/** Faults in what an engine reports. */
export interface EngineFaults {
  /** Age of load reports. */
  readonly reportLagMs: number;
  /** Fractions of cache events that are lost, and that are delivered twice. */
  readonly cacheLoss: number;
  readonly cacheRepeat: number;
  /** Fractions of an attempt's events that are lost, and that are delivered twice. */
  readonly eventLoss: number;
  readonly eventRepeat: number;
}

export const NO_ENGINE_FAULTS: EngineFaults = {
  reportLagMs: 0, cacheLoss: 0, cacheRepeat: 0, eventLoss: 0, eventRepeat: 0,
};

export interface EngineNode {
  readonly engine: StandInEngine;
  readonly faults: EngineFaults;
  /** Load reports by time, oldest first. */
  readonly reports: { readonly at: number; readonly report: LoadReport }[];
}

interface Links {
  readonly network: Network;
  readonly random: Random;
  readonly daemon: string;
}

function failedAttempt(failure: ConnectionFailure): EngineEvent {
  return failure === 'refused'
    ? {
      kind: 'failed', cause: 'connect', ran: 'no', message: 'refused',
    }
    : {
      kind: 'failed', cause: 'reset', ran: 'unknown', message: 'reset',
    };
}

async function laggingReport({ engine, faults, reports }: EngineNode, now: number) {
  const report = await engine.load();
  reports.push({ at: now, report });
  while (reports.length > 1 && reports[1]!.at <= now - faults.reportLagMs) reports.shift();
  return reports[0]!.report;
}

export function engineLink(
  { network, random, daemon }: Links,
  node: () => EngineNode,
  dispatched: () => void,
): EngineClient {
  const { engine } = node();
  const to = engine.options.name;
  const now = () => network.node(daemon).clock.wall();
  const faulty = <Value>(value: Value, loss: number, repeat: number): Observable<Value> => {
    if (loss > 0 && random.fraction() < loss) return EMPTY;
    return repeat > 0 && random.fraction() < repeat ? of(value, value) : of(value);
  };
  const attempt = (open: () => Observable<EngineEvent>) => (
    network.stream(daemon, to, () => open().pipe(concatMap((event) => {
      const { eventLoss, eventRepeat } = node().faults;
      if (event.kind === 'opened') return of(event);
      // A lost token may take the rest of the answer with it, up to the finish event.
      const short = eventLoss > 0 && event.kind === 'token' && random.fraction() < eventLoss / 2;
      return short
        ? of<EngineEvent>({ kind: 'finish', position: event.position + 1, reason: 'stop' })
        : faulty(event, eventLoss, eventRepeat);
    })), failedAttempt)
      .pipe(takeWhile(({ kind }) => kind !== 'finish' && kind !== 'failed', true)));
  return {
    generate: (request) => defer(() => {
      dispatched();
      return attempt(() => engine.generate(request));
    }),
    join: (generation, number, position) => (
      attempt(() => engine.join(generation, number, position))),
    cancel: (generation, number) => (
      network.call(daemon, to, CANCEL_DEADLINE_MS, () => engine.cancel(generation, number))
        .catch(() => ({ kind: 'unknown' as const }))),
    load: (deadlineMs) => network.call(daemon, to, deadlineMs, () => laggingReport(node(), now())),
    cacheEvents: () => network.stream<CacheEvent>(daemon, to, () => engine.cacheEvents(), () => (
      undefined)).pipe(concatMap((event) => {
      const { cacheLoss, cacheRepeat } = node().faults;
      return faulty(event, cacheLoss, cacheRepeat);
    })),
    order: (order) => network
      .call(daemon, to, order.validForMs, () => engine.order(order), true)
      .catch(() => 'unknown' as const),
  };
}

/** A peer's address is its name; messages are cloned, so that daemons share no objects. */
export function peerLink(
  { network, daemon }: Links,
  handlers: (peer: string) => PeerHandlers | undefined,
): PeerNetwork {
  const answering = (peer: string): PeerHandlers => {
    const found = handlers(peer);
    if (!found) throw new Error('refused');
    return found;
  };
  return {
    exchange: (peer, message, deadlineMs) => network.call(daemon, peer, deadlineMs, async () => (
      structuredClone(await answering(peer).heartbeat(structuredClone(message) as PeerRequest)))),
    call: (method, peer, body, deadlineMs) => network.call(daemon, peer, deadlineMs, async () => {
      const handler = answering(peer)[method];
      if (!handler) throw new Error('not found');
      return structuredClone(await handler(structuredClone(body)));
    }),
  };
}

export function objectLink({ network, daemon }: Links, objects: ObjectApi): ObjectApi {
  const lost = (code: StoreError['code']) => (error: unknown): Result<never, StoreError> => (
    err({ code, message: String(error) }));
  const call = <Value>(
    write: boolean,
    work: () => Promise<Result<Value, StoreError>>,
  ): Promise<Result<Value, StoreError>> => (
    network.call(daemon, STORE, STORE_DEADLINE_MS, work)
      .catch(lost(write ? 'ambiguous' : 'unavailable')));
  return {
    get: (name, callClass) => call(false, () => objects.get(name, callClass)),
    list: (prefix, callClass) => call(false, () => objects.list(prefix, callClass)),
    put: (name, value, expected, callClass) => (
      call(true, () => objects.put(name, value, expected, callClass))),
    remove: (name, version, callClass) => (
      call(true, () => objects.remove(name, version, callClass))),
    watch: (prefix, since, callClass) => network.stream(
      daemon,
      STORE,
      () => objects.watch(prefix, since, callClass),
      () => undefined,
    ),
  };
}

/** The platform's instance list, which returns its contents of `lagMs` ago. */
export class LaggingList {
  readonly #network: Network;

  readonly #history: { readonly at: number; readonly listed: readonly ListedInstance[] }[] = [];

  #lagMs = 0;

  private constructor(network: Network) {
    this.#network = network;
  }

  static of(network: Network): LaggingList {
    return new LaggingList(network);
  }

  publish(at: number, listed: readonly ListedInstance[]): void {
    this.#history.push({ at, listed });
  }

  lag(ms: number): void {
    this.#lagMs = ms;
  }

  link(daemon: string): InstanceList {
    return {
      read: () => this.#network.call(daemon, LIST, STORE_DEADLINE_MS, () => {
        const until = this.#network.node(LIST).clock.wall() - this.#lagMs;
        const known = this.#history.filter(({ at }) => at <= until);
        return Promise.resolve((known.at(-1) ?? this.#history[0])?.listed ?? []);
      }),
    };
  }
}
