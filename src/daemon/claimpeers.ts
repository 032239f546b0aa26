/** Peer calls of the claim ledger: to the home instance of a shard, and to a claim's owner. */
import { z } from 'zod';
import { FORWARD_DEADLINE_MS } from '../claims/ledger.js';
import type { ClaimLedger, LedgerPeers } from '../claims/ledger.js';
import type { CommitResult, Operation } from '../claims/shard.js';
import type { MembershipView, PeerNetwork } from '../membership/instances.js';
import type { CallHandler } from '../membership/peerserver.js';

const operation = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('claim'),
    key: z.string(),
    bodyHash: z.string(),
    nonce: z.string(),
    owner: z.string(),
    request: z.string(),
    fresh: z.boolean().optional(),
  }),
  z.object({
    kind: z.literal('complete'), key: z.string(), nonce: z.string(), status: z.int(),
  }),
  z.object({ kind: z.literal('release'), key: z.string(), nonce: z.string() }),
]);

const claimCall = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('forward'), operation }),
  z.object({ kind: z.literal('disown'), request: z.string() }),
]);

const holderFields = { owner: z.string(), request: z.string() };

const commitResult = z.object({
  outcome: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('granted') }),
    z.object({ kind: z.literal('running'), ...holderFields }),
    z.object({ kind: z.literal('done'), ...holderFields, status: z.int() }),
    z.object({ kind: z.literal('reused_key') }),
    z.object({ kind: z.literal('unavailable'), message: z.string() }),
    z.object({ kind: z.literal('applied') }),
  ]),
  open: z.boolean(),
});

/** Sends claim calls to other instances, which are addressed by name. */
export function claimPeers(membership: MembershipView, network: PeerNetwork): LedgerPeers {
  const callPeer = (name: string, body: z.input<typeof claimCall>): Promise<unknown> => {
    const member = membership.current().find((known) => known.name === name);
    if (!member) return Promise.reject(new Error(`instance ${name} is not a member`));
    return network.call('claim', member.peerAddress, body, FORWARD_DEADLINE_MS);
  };
  return {
    forward: async (home: string, forwarded: Operation): Promise<CommitResult> => (
      commitResult.parse(await callPeer(home, { kind: 'forward', operation: forwarded }))),
    disown: async (owner, request) => (
      z.boolean().parse(await callPeer(owner, { kind: 'disown', request }))),
  };
}

/** Handles claim calls from other instances; throws if the body is malformed. */
export function claimHandler(ledger: ClaimLedger): CallHandler {
  return async (body) => {
    const parsed = claimCall.parse(body);
    switch (parsed.kind) {
      case 'forward': return ledger.commitForwarded(parsed.operation);
      case 'disown': return ledger.disown(parsed.request);
    }
  };
}
