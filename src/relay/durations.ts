/**
 * How long answers have taken lately, by service: the longest time to the first event, the longest
 * time per requested token after it, and the longest whole answer of a plain service.
 */
import {
  largest, samplesSince, withSample,
} from '../limits/slidingmax.js';
import type { SlidingMax } from '../limits/slidingmax.js';
import type { Call } from './call.js';

type CallHead = Omit<Call, 'body'>;

/** Long enough that most services have an answer in it, short enough to forget a burst. */
const WINDOW_MS = 60_000;
/** A configuration has far fewer services; those no longer in it drop out as the least recent. */
const MAX_SERVICES = 256;

interface ServiceDurations {
  readonly firstEvents: SlidingMax;
  readonly perToken: SlidingMax;
  readonly answers: SlidingMax;
}

const NO_DURATIONS: ServiceDurations = { firstEvents: [], perToken: [], answers: [] };

function tokensOf({ fields: { outputTokens } }: CallHead): number {
  return Math.max(1, outputTokens);
}

export class Durations {
  readonly #services = new Map<string, ServiceDurations>();

  static of(): Durations {
    return new Durations();
  }

  /**
   * Records a stream that its engines have completed.
   *
   * @param firstMs from the request to the first event
   * @param restMs from the first event to the end
   */
  recordStream(call: CallHead, firstMs: number, restMs: number, now: number): void {
    const { firstEvents, perToken, answers } = this.#recent(call, now);
    this.#set(call, {
      firstEvents: withSample(firstEvents, firstMs, now),
      perToken: withSample(perToken, restMs / tokensOf(call), now),
      answers,
    });
  }

  /** Records a plain call that was answered. */
  recordAnswer(call: CallHead, now: number): void {
    const { answers, ...others } = this.#recent(call, now);
    this.#set(call, { ...others, answers: withSample(answers, now - call.receivedAt, now) });
  }

  /**
   * The time that an attempt of the call takes if it takes as long as the longest of late;
   * undefined if there was none.
   *
   * @param streamedMs how long the stream has run since its first event
   */
  expectedMs(call: CallHead, streamedMs: number, now: number): number | undefined {
    const { firstEvents, perToken, answers } = this.#recent(call, now);
    if (call.route.delivery === 'whole') {
      return answers.length === 0 ? undefined : largest(answers, 0);
    }
    if (firstEvents.length === 0) return undefined;
    const restMs = Math.max(0, largest(perToken, 0) * tokensOf(call) - streamedMs);
    return largest(firstEvents, 0) + restMs;
  }

  #recent({ service: { name } }: CallHead, now: number): ServiceDurations {
    const { firstEvents, perToken, answers } = this.#services.get(name) ?? NO_DURATIONS;
    const from = now - WINDOW_MS;
    return {
      firstEvents: samplesSince(firstEvents, from),
      perToken: samplesSince(perToken, from),
      answers: samplesSince(answers, from),
    };
  }

  #set({ service: { name } }: CallHead, durations: ServiceDurations): void {
    this.#services.delete(name);
    this.#services.set(name, durations);
    const [oldest] = this.#services.keys();
    if (this.#services.size > MAX_SERVICES && oldest !== undefined) this.#services.delete(oldest);
  }
}
