/**
 * Connection pools for the backend servers. A connection is closed rather than reused after
 * unsolicited bytes, a response that came before its request was fully sent, or a response that was
 * cut off.
 */
import { accepts } from '../common/reachable.js';
import { KeepAliveAgent } from './keepaliveagent.js';
import type { Meter } from './meter.js';

/** Keeps a burst from using up the connections that a server accepts from all callers together. */
const MAX_IDLE_CONNECTIONS = 16;

export class Connections {
  readonly #agents = new Map<string, KeepAliveAgent>();

  readonly #meter: Meter;

  private constructor(meter: Meter) {
    this.#meter = meter;
  }

  static of(meter: Meter): Connections {
    return new Connections(meter);
  }

  /** The connection pool of one server; other servers at the same address have their own. */
  agent(server: string): KeepAliveAgent {
    const existing = this.#agents.get(server);
    if (existing) return existing;
    const agent = new KeepAliveAgent({
      keepAlive: true, maxFreeSockets: MAX_IDLE_CONNECTIONS, scheduling: 'lifo', noDelay: true,
    }, {
      opened: () => this.#meter.record({ kind: 'connection', purpose: 'request' }),
      extra: () => this.#meter.record({ kind: 'extra_response' }),
    });
    this.#agents.set(server, agent);
    return agent;
  }

  /** Closes the idle connections to a server. */
  close(server: string): void {
    const agent = this.#agents.get(server);
    if (!agent) return;
    this.#agents.delete(server);
    Object.values(agent.freeSockets).forEach((sockets) => {
      sockets?.forEach((socket) => socket.destroy());
    });
  }

  /** Whether a server's address accepts a connection within `timeoutMs`. */
  accepts(address: string, timeoutMs: number): Promise<boolean> {
    this.#meter.record({ kind: 'connection', purpose: 'check' });
    return accepts(address, timeoutMs);
  }

  /** Closes all idle connections. */
  closeAll(): void {
    [...this.#agents.keys()].forEach((server) => this.close(server));
  }
}
