/** Tells a stream that has run for some time from one that may crash its server. */

/** Streams that crash servers do so soon after their first event. */
const MIN_SOUND_RUN_MS = 1_000;

export class SoundRun {
  #firstAt: number | undefined;

  #isSound = false;

  static of(): SoundRun {
    return new SoundRun();
  }

  /** Whether the stream has run long enough not to be the cause of a crash. */
  get isSound(): boolean {
    return this.#isSound;
  }

  /** Records an event of the stream; returns whether that shows it to be sound. */
  record(now: number): boolean {
    this.#firstAt ??= now;
    if (this.#isSound || now - this.#firstAt < MIN_SOUND_RUN_MS) return false;
    this.#isSound = true;
    return true;
  }
}
