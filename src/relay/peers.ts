/** Exchanges messages with the other relay daemons and tracks which of them are alive. */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import {
  interval, Observable, Subject, throttleTime,
} from 'rxjs';
import type { Subscription } from 'rxjs';
import type { RankReport } from '../placementrank/ranks.js';
import { decodeRank } from '../placementrank/rankwire.js';
import { localMessage } from './localmessage.js';
import { MessageChanges } from './messagechanges.js';
import { Outgoing } from './outgoing.js';
import { tellListener } from './peerlistener.js';
import { decodeMessage, decodeUse, encodeOrigin } from './peermessage.js';
import type { PeerMessage } from './messageschema.js';
import { fullIntervalMs, oldPeerIntervalMs } from './peerpacing.js';
import type { PeersContext } from './peerscontext.js';
import { PEERS_AT_ONCE, PeerSchedule } from './peerschedule.js';
import { PeerTable } from './peertable.js';
import { PARTIAL_PROTOCOL, PROTOCOL } from './protocol.js';
import type { ServerEntry } from './serverentry.js';
import type { Load } from './serverstate.js';
import type { OriginReport } from './streamorigins.js';
import type { UseReport } from './workspaceuses.js';

/** A tenth of a prompt's prefill; with older loads, instances would pick the same engine. */
const INTERVAL_MS = 100;
/** Delay before new assignments are sent, so that one message covers several of them. */
const URGENT_DELAY_MS = 8;
/**
 * Other zones hear of new assignments, and all of loads that have ended, after so many intervals:
 * most of the engines' load comes from the own zone, and bytes between zones are expensive.
 */
const GATHERED_INTERVALS = 3;
/** Largest number by which a process is told from the one before at the same address. */
const MAX_PROCESS = 0x7fff_ffff;

/** `routine`: a load or a stream, of which there are many; `news`: all else that can't wait. */
type Urgency = 'routine' | 'news';

export class Peers {
  readonly #context: PeersContext;

  readonly #table: PeerTable;

  readonly #schedule: PeerSchedule;

  readonly #changes = MessageChanges.of();

  readonly #process: number;

  readonly #urgent = new Subject<void>();

  /** Whether something waits that all have to learn soon. */
  #hasNews = false;

  #intervals = 0;

  /** Services of which this instance reached no server when it last told. */
  #unreached = '';

  /** Limited servers that this instance used when it last told. */
  #inUse: readonly string[] = [];

  private constructor(context: PeersContext) {
    const {
      ip, seeds, scheduler, random,
    } = context;
    this.#context = context;
    this.#table = PeerTable.of(ip, seeds, scheduler.now());
    this.#schedule = PeerSchedule.of(random);
    this.#process = random.integer(1, MAX_PROCESS);
  }

  static of(context: PeersContext): Peers {
    return new Peers(context);
  }

  #live(): readonly (readonly [string, PeerMessage])[] {
    return this.#table.live(this.#context.scheduler.now());
  }

  /** Load that the other instances have assigned to a server, as one sum. */
  loads(server: string): readonly Load[] {
    const load = this.#table.load(server);
    return load ? [load] : [];
  }

  /** Room that workspaces use by way of the other instances. */
  get uses(): readonly UseReport[] {
    return this.#live().flatMap(([, { uses }]) => uses.map(decodeUse));
  }

  /** Demand by priority rank at the other instances. */
  get ranks(): readonly RankReport[] {
    return this.#live().flatMap(([, { ranks }]) => ranks.map(decodeRank));
  }

  /** IP addresses of the live peers that say that they don't use a limited server. */
  idle({ id, startedAt }: ServerEntry): readonly string[] {
    return this.#live().flatMap(([ip, { limits }]) => (
      limits.some(([server, started, , , inUse]) => (
        server === id && started === startedAt && !inUse)) ? [ip] : []));
  }

  /** IP addresses of the live peers that reach servers of a service, as far as they say. */
  reaching(service: string): readonly string[] {
    return this.#live().flatMap(([ip, { unreached }]) => (unreached.includes(service) ? [] : [ip]));
  }

  /** IP addresses of the live peers that shed requests. */
  get overloaded(): readonly string[] {
    return this.#live().filter(([, { overload }]) => overload > 0).map(([ip]) => ip);
  }

  /** IP addresses of the live peers. */
  get alive(): readonly string[] {
    return this.#live().map(([ip]) => ip);
  }

  /** Sends before the next interval, so that peers don't pick the same server, for instance. */
  sendSoon(urgency: Urgency = 'news'): void {
    this.#hasNews ||= urgency === 'news';
    this.#urgent.next();
  }

  /** Exchanges messages while subscribed; emits an error when the socket fails. */
  readonly run = new Observable<never>((subscriber) => {
    const { ip, port, scheduler } = this.#context;
    const socket = createSocket('udp4');
    let sending: Subscription | undefined;
    socket.on('error', (error) => subscriber.error(error));
    socket.on('message', (bytes, { address }) => this.#receive(bytes, address, socket));
    socket.bind(port, ip, () => {
      const urgent = this.#urgent.pipe(throttleTime(URGENT_DELAY_MS, scheduler, {
        leading: false, trailing: true,
      }));
      sending = interval(INTERVAL_MS, scheduler).subscribe(() => this.#sendInterval(socket));
      sending.add(urgent.subscribe(() => this.#sendUrgent(socket)));
      this.#sendInterval(socket);
    });
    return () => {
      sending?.unsubscribe();
      socket.close();
    };
  });

  /** What this instance tells now. */
  #outgoing(now: number): Outgoing {
    const {
      localState, random, zone = '', ip,
    } = this.#context;
    const live = this.#table.live(now).map(([peer]) => (
      { ip: peer, ageMs: now - this.#table.peer(peer)!.heardAt }));
    const message = localMessage({ ip, zone }, localState(), live, random);
    return Outgoing.of(message, this.#process, this.#changes);
  }

  /** Drops what silent peers told. */
  #expirePeers(now: number): void {
    const { log } = this.#context;
    this.#table.expire(now).forEach(({ ip, silentMs }) => (
      log.event('info', 'peer_lost', { peer: ip, silent_ms: Math.round(silentMs) })));
    this.#schedule.keep(this.#table.known);
  }

  #sendTo(socket: Socket, ip: string, bytes: Buffer): void {
    const { port, log } = this.#context;
    // A send error is handled like a lost datagram: the next message follows shortly.
    socket.send(bytes, port, ip, (error) => {
      if (error) log.event('debug', 'peer_send_failed', { peer: ip, reason: error.message });
    });
  }

  /** Whether a peer needs full messages at short intervals; unknown for one not heard of. */
  #isOld(ip: string): boolean {
    return (this.#table.peer(ip)?.message?.protocol ?? PROTOCOL) < PARTIAL_PROTOCOL;
  }

  #sendFull(socket: Socket, ip: string, outgoing: Outgoing, now: number): void {
    const isOld = this.#isOld(ip);
    const nextMs = (isOld ? oldPeerIntervalMs : fullIntervalMs)(this.#table.instances);
    // A peer that was never heard of may be of any build.
    const bytes = this.#table.peer(ip)?.message && !isOld
      ? outgoing.compact(this.#schedule.since(ip)) : outgoing.whole;
    this.#sendTo(socket, ip, bytes);
    this.#schedule.markFull(ip, outgoing.version, now + nextMs, now);
  }

  #sendChanges(socket: Socket, ip: string, outgoing: Outgoing, now: number): void {
    const bytes = this.#isOld(ip) ? undefined : outgoing.changes(this.#schedule.since(ip));
    if (!bytes) {
      this.#sendFull(socket, ip, outgoing, now);
      return;
    }
    this.#sendTo(socket, ip, bytes);
    this.#schedule.markChanges(ip, outgoing.version);
  }

  /** Queues what all have to learn soon, such as whom calls can be handed over to. */
  #queueNews({ message: { sought }, inUse, unreached }: Outgoing): void {
    const isNewUser = inUse.some((id) => !this.#inUse.includes(id));
    const isNews = this.#hasNews || isNewUser || inUse.length < this.#inUse.length
      || unreached !== this.#unreached;
    if (isNews || sought.length > 0) this.#schedule.addNews(this.#table.known, isNewUser);
    this.#hasNews = false;
    this.#inUse = inUse;
    this.#unreached = unreached;
  }

  #sendInterval(socket: Socket): void {
    const now = this.#context.scheduler.now();
    this.#expirePeers(now);
    const live = this.#table.live(now);
    const full = new Set([
      ...this.#schedule.takeNews(this.#schedule.newsAtOnce),
      ...this.#schedule.due(this.#table.known, now),
    ]);
    this.#intervals += 1;
    const isGathered = this.#intervals % GATHERED_INTERVALS === 0;
    if (full.size > 0 || isGathered) {
      const outgoing = this.#outgoing(now);
      this.#queueNews(outgoing);
      full.forEach((ip) => this.#sendFull(socket, ip, outgoing, now));
      if (isGathered) this.#tellChanges(socket, outgoing, live, now);
    }
    this.#context.listener.onInstanceCount(live.length + 1);
  }

  #sendUrgent(socket: Socket): void {
    const now = this.#context.scheduler.now();
    const outgoing = this.#outgoing(now);
    this.#queueNews(outgoing);
    this.#schedule.takeNews(PEERS_AT_ONCE)
      .forEach((ip) => this.#sendFull(socket, ip, outgoing, now));
    const { zone: own = '' } = this.#context;
    const live = this.#table.live(now);
    // Among few instances each is a large part of the load, and telling all of them costs little.
    const near = live.length <= PEERS_AT_ONCE ? live
      : live.filter(([, { zone }]) => [zone, own].includes('') || zone === own);
    this.#tellChanges(socket, outgoing, near, now);
  }

  /** Tells peers what has changed since they were last told. */
  #tellChanges(
    socket: Socket,
    outgoing: Outgoing,
    peers: readonly (readonly [string, PeerMessage])[],
    now: number,
  ): void {
    const untold = peers.map(([ip]) => ip)
      .filter((ip) => this.#schedule.version(ip) < outgoing.version);
    this.#schedule.takeChanges(untold, now)
      .forEach((ip) => this.#sendChanges(socket, ip, outgoing, now));
  }

  /** Tells a peer at once where streams that it asks for began. */
  #reply(socket: Socket, address: string, origins: readonly OriginReport[]): void {
    const outgoing = this.#outgoing(this.#context.scheduler.now());
    const told = outgoing.with({ origins: origins.map(encodeOrigin) });
    this.#sendTo(socket, address, this.#isOld(address) ? told.whole : told.compact());
  }

  /** A peer whose messages can't be read is not silent; what it said last holds on. */
  #noteUnread(address: string, part: 'message' | 'field', reason: string): void {
    const { scheduler, log, listener } = this.#context;
    listener.onUnread(part);
    // The text of a message that can't be parsed differs from one to the next.
    const unread = part === 'message' ? part : reason;
    if (this.#table.peer(address)?.unread !== unread) {
      log.event('warn', 'peer_message_unreadable', { from: address, part, reason });
    }
    this.#table.noteUnread(address, unread, scheduler.now());
  }

  #receive(bytes: Buffer, address: string, socket: Socket): void {
    const { scheduler, log, listener } = this.#context;
    const decoded = decodeMessage(bytes);
    if (decoded.isErr()) {
      this.#noteUnread(address, 'message', decoded.error);
      return;
    }
    const { message, unread } = decoded.value;
    const { before, after } = this.#table.receive(address, message, scheduler.now());
    // A peer that has just started knows nothing.
    if (!before || before.state[0] !== message.state[0]) this.#schedule.restart(address);
    if (!before && after) {
      log.event('info', 'peer_reached', { peer: address, configuration: message.configuration });
    }
    if (message.protocol !== (before?.protocol ?? PROTOCOL)) {
      const { protocol } = message;
      log.event('info', 'peer_protocol', { peer: address, protocol, own: PROTOCOL });
    }
    if (unread.length > 0) this.#noteUnread(address, 'field', unread.join(','));
    const sought = tellListener(decoded.value, address, listener);
    if (sought.length > 0) this.#reply(socket, address, sought);
  }
}
