/**
 * A process of simulated instances for `relaycontrol.ts`: the exchange of this build with loads
 * that change at a given rate. Counts the datagrams to and from the instance that is measured.
 */
import { Socket } from 'node:dgram';
import type { RemoteInfo } from 'node:dgram';
import { Random } from '../src/common/random.js';
import { monotonicScheduler } from '../src/common/time.js';
import { Peers } from '../src/relay/peers.js';
import { NO_LOAD, serverState } from '../src/relay/serverstate.js';
import type { ServerState } from '../src/relay/serverstate.js';

/** As the measured instance sees it. */
export interface PeerCounts {
  readonly datagramsIn: number;
  readonly bytesIn: number;
  readonly datagramsOut: number;
  readonly bytesOut: number;
}

const RUN_MS = 3_000;
const PREFILL_MS = 300;
const TOKENS = 9_000;

const [target = '', port = '', own = '', all = '', rate = '0', engines = '0'] = process.argv
  .slice(2);
const counts = {
  datagramsIn: 0, bytesIn: 0, datagramsOut: 0, bytesOut: 0,
};

const { send, emit } = Socket.prototype as unknown as Record<
  'send' | 'emit',
  (this: Socket, ...values: unknown[]) => unknown
>;
Object.assign(Socket.prototype, {
  send(this: Socket, bytes: Buffer, to: number, ip: string, ...rest: unknown[]) {
    if (ip === target) {
      counts.datagramsIn += 1;
      counts.bytesIn += bytes.length;
    }
    return send.call(this, bytes, to, ip, ...rest);
  },
  emit(this: Socket, event: string, ...rest: unknown[]) {
    if (event === 'message' && (rest[1] as RemoteInfo).address === target) {
      counts.datagramsOut += 1;
      counts.bytesOut += (rest[0] as Buffer).length;
    }
    return emit.call(this, event, ...rest);
  },
});

function simulate(ip: string, seed: number): void {
  const random = Random.of(seed);
  const servers: ServerState[] = Array.from({ length: Number(engines) }, (_, index) => (
    serverState({
      id: `e-${index + 1}`,
      service: 'engines',
      address: `127.0.0.1:${index + 1}`,
      zone: 'abc'[index % 3]!,
      state: 'ready',
      slots: 16,
      startedAt: 1,
      software: 'v1',
      weights: 1,
    })));
  const origins: string[] = [];
  const add = (index: number, running: number, prefillTokens: number, memoryTokens: number) => {
    const { ownLoad } = servers[index]!;
    servers[index] = {
      ...servers[index]!,
      ownLoad: {
        ...NO_LOAD,
        running: ownLoad.running + running,
        prefillTokens: ownLoad.prefillTokens + prefillTokens,
        memoryTokens: ownLoad.memoryTokens + memoryTokens,
      },
    };
  };
  const peers = Peers.of({
    ip,
    zone: 'abc'[seed % 3]!,
    port: Number(port),
    seeds: [target, ...all.split(',')],
    scheduler: monotonicScheduler,
    random,
    log: { event: () => undefined },
    listener: {
      onLeaving: () => undefined,
      onSuccession: () => undefined,
      onRestart: () => undefined,
      onSuspect: () => undefined,
      onCopies: () => undefined,
      onCrashes: () => undefined,
      onLimits: () => undefined,
      onPaces: () => undefined,
      onRollouts: () => undefined,
      onOrigins: () => undefined,
      originsOf: () => [],
      onInstanceCount: () => undefined,
      onReportedCount: () => undefined,
      onUnread: () => undefined,
    },
    localState: () => ({
      configuration: 1,
      copies: {},
      servers,
      successors: [],
      crashes: [],
      limits: [],
      origins: origins.slice(-16)
        .map((stream) => ({ stream, origin: { kind: 'version', software: 'v1' } as const })),
      sought: [],
      uses: [],
      ranks: [],
      paces: [],
      rollouts: [],
      overload: 0,
      unreached: [],
      isSilent: () => false,
    }),
  });
  peers.run.subscribe();
  if (Number(rate) === 0) return;
  let begun = 0;
  setInterval(() => {
    const index = random.integer(0, servers.length - 1);
    begun += 1;
    origins.push(`stream-${ip}-${begun}`);
    add(index, 1, TOKENS, TOKENS);
    peers.sendSoon('routine');
    setTimeout(() => add(index, 0, -TOKENS, 0), PREFILL_MS);
    setTimeout(() => {
      origins.shift();
      add(index, -1, 0, -TOKENS);
    }, RUN_MS);
  }, 1_000 / Number(rate));
}

own.split(',').forEach((ip, index) => simulate(ip, index + Number(ip.split('.')[3])));
process.on('message', () => process.send?.(counts));
