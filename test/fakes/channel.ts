/** A direction of one connection; its messages keep their order. */
export class Channel {
  #lastArrival = 0;

  /** When a message that could arrive at `at` arrives. */
  arrivalOf(at: number): number {
    this.#lastArrival = Math.max(this.#lastArrival, at);
    return this.#lastArrival;
  }
}
