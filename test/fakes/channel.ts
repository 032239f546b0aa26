/** One direction of a connection, which preserves the order of messages. */
export class Channel {
  #lastArrival = 0;

  /** Arrival time of a message that would arrive at `at` if none were before it. */
  arrivalOf(at: number): number {
    this.#lastArrival = Math.max(this.#lastArrival, at);
    return this.#lastArrival;
  }
}
