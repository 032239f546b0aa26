/** Simulated callers of the daemons in a world under test. */
import type { Subscription } from 'rxjs';
import type { Instance } from '../../src/daemon/instance.js';
import type { Priority } from '../../src/common/priority.js';
import type { ReturningCaller } from '../../src/entry/gateway.js';
import type { GenerationRequest } from '../../src/generation/request.js';
import { endCall } from '../fuzz/oracle.js';
import type { Call } from '../fuzz/oracle.js';
import type { World } from './world.js';
import { WORKSPACE } from './worldconfiguration.js';
import type { MODELS } from './worldconfiguration.js';

export interface CallerRequest {
  readonly daemon: string;
  readonly model: typeof MODELS[number];
  readonly tokens: number;
  readonly priority: Priority;
  readonly stop: readonly string[];
  /** The idempotency key; requests with one key are the same request. */
  readonly key: string | undefined;
}

/** Fixed, so that requests with the same key are equal. */
const KEYED_TOKENS = 20;

export class Callers {
  readonly #world: World;

  readonly #answers = new Map<Call, Subscription>();

  /** The last cursor that each call received. */
  readonly #cursors = new Map<Call, string>();

  private constructor(world: World) {
    this.#world = world;
  }

  static of(world: World): Callers {
    return new Callers(world);
  }

  send({
    daemon, model, tokens, priority, stop, key,
  }: CallerRequest): void {
    const { base, oracle } = this.#world;
    const { instance } = this.#world.daemon(daemon);
    if (!instance) return;
    const name = this.#world.uniqueName('request');
    const { repeat } = base.models[model]!;
    const request: GenerationRequest = {
      id: name,
      workspace: WORKSPACE,
      model,
      adapter: undefined,
      input: { kind: 'prompt', text: `${key ?? name} `.repeat(40) },
      sampling: {
        seed: 1, temperature: 1, maxTokens: key === undefined ? tokens : KEYED_TOKENS, stop,
      },
      priority,
      repeat,
      idempotencyKey: key,
    };
    this.#open(oracle.addCall(daemon, name, request), instance);
  }

  /** Calls whose daemon ended and that have a cursor to return with. */
  get returnable(): readonly Call[] {
    return this.#world.oracle.calls.filter((call) => (
      call.outcome.kind === 'cut' && call.outcome.by === 'daemon' && this.#cursors.has(call)));
  }

  /** Returns to another daemon for a call whose daemon ended, with or without its text. */
  returnTo(before: Call, daemon: string, withText: boolean): void {
    const { instance } = this.#world.daemon(daemon);
    const cursor = this.#cursors.get(before);
    if (!instance || cursor === undefined) return;
    this.#cursors.delete(before);
    const { tokens, text, request } = before;
    const call = this.#world.oracle.addCall(daemon, `${before.name}, again`, request, before);
    this.#open(call, instance, {
      cursor, tokens, text: withText || tokens === 0 ? text : undefined,
    });
  }

  #open(call: Call, instance: Instance, returning?: ReturningCaller): void {
    const { network, oracle } = this.#world;
    const { clock } = network.node(call.daemon);
    const { epoch } = clock;
    clock.run(epoch, () => {
      if (call.outcome.kind !== 'open') return;
      const left = instance.drain.enter();
      const answer = instance.gateway.generate(call.request, {
        onCursor: (cursor) => this.#cursors.set(call, cursor),
        ...(returning ? { returning } : {}),
      }).subscribe((event) => {
        if (clock.epoch === epoch) oracle.recordEvent(call, event);
      });
      answer.add(left);
      this.#answers.set(call, answer);
    });
  }

  /** The caller of an open request disconnects. */
  disconnect(call: Call): void {
    const { network } = this.#world;
    const { clock } = network.node(call.daemon);
    endCall(call, 'caller');
    clock.run(clock.epoch, () => this.#answers.get(call)?.unsubscribe());
    this.#answers.delete(call);
  }
}
