/** A direction of one connection; its messages keep their order. */
export class Channel {
  #arrival = 0;

  /** When a message that could arrive at `at` arrives. */
  next(at: number): number {
    this.#arrival = Math.max(this.#arrival, at);
    return this.#arrival;
  }
}
