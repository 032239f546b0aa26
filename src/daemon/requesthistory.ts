/**
 * Collects the decisions about a request from all instances. A request may have been served by
 * several, because a caller that reconnects through the balancer can reach another instance.
 */
import { z } from 'zod';
import type { InstanceDecisions } from '../admin/administration.js';
import type { Decision, DecisionLog } from '../admin/decisions.js';
import type { MembershipView, PeerNetwork } from '../membership/instances.js';
import type { CallHandler } from '../membership/peerserver.js';

const CALL_DEADLINE_MS = 1_000;

const decisionQuery = z.object({ request: z.string() });

const fieldValue = z.union([
  z.string(), z.number(), z.boolean(), z.array(z.union([z.string(), z.number()])),
]);

const decisionList = z.array(z.object({
  atMs: z.number(),
  event: z.string(),
  fields: z.record(z.string(), fieldValue.optional()),
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

  /** Decisions by instance; instances without any, or that don't answer in time, are omitted. */
  async why(request: string): Promise<readonly InstanceDecisions[]> {
    const { name, decisions, membership } = this.#context;
    const own = { instance: name, decisions: decisions.decisionsFor(request) };
    const peers = membership.current().filter((member) => member.name !== name);
    const remote = peers.map(async ({ name: instance, peerAddress }) => (
      { instance, decisions: await this.#fetchDecisions(peerAddress, request) }));
    return [own, ...await Promise.all(remote)].filter((found) => found.decisions.length > 0);
  }

  /** Handles another instance's query; throws if the body is malformed. */
  readonly handler: CallHandler = async (body) => (
    this.#context.decisions.decisionsFor(decisionQuery.parse(body).request));

  async #fetchDecisions(address: string, request: string): Promise<readonly Decision[]> {
    try {
      return decisionList.parse(
        await this.#context.network.call('why', address, { request }, CALL_DEADLINE_MS),
      );
    } catch {
      return [];
    }
  }
}
