/** The measurements of generations that are reported to the metrics. */
import type { RefusalCode } from '../common/refusal.js';
import type { AssignReason, DropCause } from './event.js';

export interface GenerationMeter {
  dispatched(reason: AssignReason): void;
  dropped(cause: DropCause): void;
  refused(code: RefusalCode): void;
  /** Milliseconds from the request to its first token. */
  firstToken(ms: number): void;
  /** Milliseconds that a caller waited between two tokens of different attempts. */
  resumed(ms: number): void;
  /** Tokens delivered of an answer that has ended. */
  tokens(count: number): void;
}

export const noopMeter: GenerationMeter = {
  dispatched: () => undefined,
  dropped: () => undefined,
  refused: () => undefined,
  firstToken: () => undefined,
  resumed: () => undefined,
  tokens: () => undefined,
};
