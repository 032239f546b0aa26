/**
 * Finds the decisions behind a request on every instance: a request whose caller came back through
 * the balancer has been served by more than one.
 */
import { z } from 'zod';
import type { InstanceDecisions } from '../admin/administration.js';
import type { Decision, DecisionLog } from '../admin/decisions.js';
import type { MembershipView, PeerNetwork } from '../membership/instances.js';
import type { CallHandler } from '../membership/peerserver.js';

const CALL_DEADLINE_MS = 1_000;

const question = z.object({ request: z.string() });

const value = z.union([
  z.string(), z.number(), z.boolean(), z.array(z.union([z.string(), z.number()])),
]);

const answer = z.array(z.object({
  atMs: z.number(),
  event: z.string(),
  fields: z.record(z.string(), value.optional()),
}));

export interface RequestHistoryContext {
  /** This instance's name. */
  readonly name: string;
  readonly decisions: DecisionLog;
  readonly membership: MembershipView;
  readonly network: PeerNetwork;
}

export class RequestHistory {
  readonly #context: RequestHistoryContext;

  private constructor(context: RequestHistoryContext) {
    this.#context = context;
  }

  static of(context: RequestHistoryContext): RequestHistory {
    return new RequestHistory(context);
  }

  /** The instances that know the request; one that does not answer in time is left out. */
  async why(request: string): Promise<readonly InstanceDecisions[]> {
    const { name, decisions, membership } = this.#context;
    const here = { instance: name, decisions: decisions.decisionsFor(request) };
    const peers = membership.current().filter((member) => member.name !== name);
    const there = peers.map(async ({ name: instance, peerAddress }) => (
      { instance, decisions: await this.#ask(peerAddress, request) }));
    return [here, ...await Promise.all(there)].filter((found) => found.decisions.length > 0);
  }

  /** Answers the same question of another instance; throws on a body that is not one. */
  readonly handler: CallHandler = async (body) => (
    this.#context.decisions.decisionsFor(question.parse(body).request));

  async #ask(address: string, request: string): Promise<readonly Decision[]> {
    try {
      return answer.parse(
        await this.#context.network.call('why', address, { request }, CALL_DEADLINE_MS),
      );
    } catch {
      return [];
    }
  }
}
