/**
 * How long answers have taken lately, by service: medians of the time to a stream's first event, of
 * the time per requested token after it, and of the whole answers of a plain service. Streams that
 * lost an engine on the way take much longer, and don't count for the others.
 */
import type { Call } from './call.js';

type CallHead = Omit<Call, 'body'>;

/** Long enough that most services have an answer in it, short enough to forget a burst. */
const WINDOW_MS = 60_000;
/** The newest answers of a service that count. */
const MAX_SAMPLES = 32;
/** A configuration has far fewer services; those no longer in it drop out as the least recent. */
const MAX_SERVICES = 256;

/** One answer; that of a plain service has no first event of its own. */
interface Sample {
  readonly at: number;
  readonly firstMs: number;
  readonly perTokenMs: number;
}

function tokensOf({ fields: { outputTokens } }: CallHead): number {
  return Math.max(1, outputTokens);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)]!;
}

export class Durations {
  readonly #services = new Map<string, readonly Sample[]>();

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
    this.#record(call, { at: now, firstMs, perTokenMs: restMs / tokensOf(call) });
  }

  /** Records a plain call that was answered. */
  recordAnswer(call: CallHead, now: number): void {
    this.#record(call, { at: now, firstMs: now - call.receivedAt, perTokenMs: 0 });
  }

  /**
   * The time that an attempt of the call takes if it takes as long as others of late; undefined if
   * there were none.
   */
  expectedMs(call: CallHead, now: number): number | undefined {
    const samples = this.#recent(call, now);
    if (samples.length === 0) return undefined;
    const perTokenMs = median(samples.map((sample) => sample.perTokenMs));
    return median(samples.map(({ firstMs }) => firstMs)) + perTokenMs * tokensOf(call);
  }

  #recent({ service: { name } }: CallHead, now: number): readonly Sample[] {
    return (this.#services.get(name) ?? []).filter(({ at }) => at > now - WINDOW_MS);
  }

  #record(call: CallHead, sample: Sample): void {
    const samples = [...this.#recent(call, sample.at), sample].slice(-MAX_SAMPLES);
    const { service: { name } } = call;
    this.#services.delete(name);
    this.#services.set(name, samples);
    const [oldest] = this.#services.keys();
    if (this.#services.size > MAX_SERVICES && oldest !== undefined) this.#services.delete(oldest);
  }
}
