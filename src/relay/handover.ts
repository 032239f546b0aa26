/** Hands one call over to another instance, once, and cancels it there. */
import type { Call } from './call.js';
import type { Caller, RelayContext } from './context.js';
import type { Progress } from './forwardedrequest.js';

export class Handover {
  readonly #call: Call;

  readonly #caller: Caller;

  readonly #context: RelayContext;

  #cancel: (() => void) | undefined;

  private constructor(call: Call, caller: Caller, context: RelayContext) {
    this.#call = call;
    this.#caller = caller;
    this.#context = context;
  }

  static of(call: Call, caller: Caller, context: RelayContext): Handover {
    return new Handover(call, caller, context);
  }

  /** Returns whether another instance takes the call; its answer is then the caller's. */
  start(progress: Progress): boolean {
    this.#cancel = this.#context.forwarding
      .handOver(this.#call, this.#caller, this.#context, progress);
    return this.#cancel !== undefined;
  }

  /** Called when the caller disconnects. */
  cancel(): void {
    this.#cancel?.();
  }
}
