/** An open answer of the relay, as the log tells it when the instance stops. */
import type { LogFields } from '../common/log.js';
import type { Delivery } from '../entry/delivery.js';

/**
 * `reading`: its request is not complete. `placing`: no server has the request. `running`: a server
 * has it, and its caller has nothing. `answering`: the caller has a head. `flushing`: the answer
 * has ended, and some of it is unsent. `closing`: its caller has not closed the connection yet.
 */
export type AnswerStage =
  | 'reading' | 'placing' | 'running' | 'answering' | 'flushing' | 'closing';

export class OpenAnswer {
  readonly #request: string | undefined;

  readonly #receivedAt: number;

  readonly #delivery: Delivery;

  #isRead = false;

  #server: string | undefined;

  private constructor(request: string | undefined, receivedAt: number, delivery: Delivery) {
    this.#request = request;
    this.#receivedAt = receivedAt;
    this.#delivery = delivery;
  }

  /**
   * @param request id that the caller chose, if any
   * @param receivedAt scheduler time at which the request's head was received
   */
  static of(request: string | undefined, receivedAt: number, delivery: Delivery): OpenAnswer {
    return new OpenAnswer(request, receivedAt, delivery);
  }

  get stage(): AnswerStage {
    switch (this.#delivery.stage) {
      case 'pending':
        if (!this.#isRead) return 'reading';
        return this.#server === undefined ? 'placing' : 'running';
      case 'begun': return 'answering';
      case 'ended': return 'flushing';
      case 'flushed': return 'closing';
    }
  }

  /** The whole request has been read. */
  markRead(): void {
    this.#isRead = true;
  }

  /** @param server the backend server or instance that the request is sent to */
  markSent(server: string): void {
    this.#server = server;
  }

  /** @param now scheduler time */
  describe(now: number): LogFields {
    return {
      request: this.#request,
      stage: this.stage,
      server: this.#server,
      age_ms: Math.round(now - this.#receivedAt),
      ...this.#delivery.logFields,
    };
  }
}
