/**
 * Hands calls over to other instances while this one reaches no server of their service. A call is
 * forwarded once only: an instance that gets one from another serves or refuses it.
 */
import type { Random } from '../common/random.js';
import type { Call } from './call.js';
import type { Caller, RelayContext } from './context.js';
import { ForwardedCall } from './forwardedcall.js';
import type { Progress } from './forwardedrequest.js';
import type { Reach } from './reach.js';
import type { RelaySettings } from './settings.js';

export interface ForwardingContext {
  readonly settings: RelaySettings;
  readonly random: Random;
  readonly reach: Reach;
  /** IP addresses of the live instances that reach servers of a service. */
  readonly instancesReaching: (service: string) => readonly string[];
  /** IP addresses of the live instances that shed requests, and are given none. */
  readonly overloaded: () => readonly string[];
}

export class Forwarding {
  readonly #context: ForwardingContext;

  private constructor(context: ForwardingContext) {
    this.#context = context;
  }

  static of(context: ForwardingContext): Forwarding {
    return new Forwarding(context);
  }

  /** Whether this instance reaches no server at all, while another one does. */
  get isCutOff(): boolean {
    const { reach, instancesReaching } = this.#context;
    return reach.isCutOff
      && reach.unreached.some((service) => instancesReaching(service).length > 0);
  }

  /**
   * Hands a call over if this instance reaches no server of its service; the returned function
   * cancels it when its caller disconnects. Undefined if the call stays here.
   */
  handOver(
    call: Call,
    caller: Caller,
    relayContext: RelayContext,
    progress: Progress,
  ): (() => void) | undefined {
    const {
      settings: { ip, peerPort: port }, random, reach, instancesReaching, overloaded,
    } = this.#context;
    const service = call.service.name;
    if (call.forwardedBy !== undefined || !reach.isUnreached(service)) return undefined;
    const busy = overloaded();
    const targets = random.shuffled(instancesReaching(service)
      .filter((instance) => !busy.includes(instance)));
    if (targets.length === 0) return undefined;
    return ForwardedCall.start(call, caller, relayContext, {
      ip, port, targets, progress,
    });
  }
}
