/** The largest of some values observed within a sliding window. Pure functions. */
export interface Sample { readonly value: number; readonly at: number }

/** Samples that may still be the largest, the largest and oldest first. */
export type SlidingMax = readonly Sample[];

export function withSample(samples: SlidingMax, value: number, at: number): SlidingMax {
  return [...samples.filter((other) => other.value > value), { value, at }];
}

/** Drops the samples taken at `from` or before. */
export function samplesSince(samples: SlidingMax, from: number): SlidingMax {
  return samples.filter(({ at }) => at > from);
}

/** @returns `least` if there is no larger sample */
export function largest(samples: SlidingMax, least: number): number {
  return Math.max(least, samples[0]?.value ?? least);
}
