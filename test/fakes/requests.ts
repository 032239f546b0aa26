/** Single requests to a world's daemons, besides those that its oracle checks. */
import type { AnswerEvent, GenerationRequest } from '../../src/generation/request.js';
import type { World } from './world.js';
import { WORKSPACE } from './worldconfiguration.js';

export interface RequestOptions {
  readonly model: string;
  readonly tokens: number;
  readonly key?: string;
}

/** An answer so far. */
export interface ObservedAnswer {
  /** Identifies the request in logs. */
  readonly request: string;
  tokens: number;
  /** The last event, undefined while the answer is open. */
  end: AnswerEvent | undefined;
}

let requests = 0;

/** Sends a request to the daemon; the returned answer is updated as time advances. */
export function sendRequest(
  world: World,
  daemon: string,
  { model, tokens, key }: RequestOptions,
): ObservedAnswer {
  requests += 1;
  const request: GenerationRequest = {
    id: `asked-${requests}`,
    workspace: WORKSPACE,
    model,
    adapter: undefined,
    input: { kind: 'prompt', text: `request ${requests}` },
    sampling: {
      seed: 1, temperature: 1, maxTokens: tokens, stop: [],
    },
    priority: 'standard',
    repeat: world.base.models[model]!.repeat,
    idempotencyKey: key,
    bodyHash: 'same',
  };
  const answered: ObservedAnswer = { request: request.id, tokens: 0, end: undefined };
  world.daemon(daemon).instance!.gateway.generate(request).subscribe((event) => {
    if (event.kind === 'token') answered.tokens += 1;
    else answered.end = event;
  });
  return answered;
}

/** `finish`, or the refusal's `code` and `ran`, or `open` while the answer is not finished. */
export function outcomeOf({ end }: ObservedAnswer): string {
  if (!end) return 'open';
  return end.kind === 'refusal' ? `${end.refusal.code} ${end.refusal.ran}` : end.kind;
}

/** Cuts all links between the daemon and the named others. */
export function cutLinks(world: World, daemon: string, others: readonly string[]): void {
  others.forEach((other) => {
    world.network.cut(daemon, other);
    world.network.cut(other, daemon);
  });
}
