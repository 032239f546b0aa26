/**
 * Holds back versions of a service that have just appeared, until the store's orders have been
 * confirmed since: the servers of an order's target may be known before the order is. An instance
 * that has confirmed nothing yet uses the version whose servers have run for longest, since the
 * target's are started last.
 */

/** Versions remembered for each service. */
const MAX_VERSIONS = 32;

/** A version that runs, and when the first of its servers started, in Unix milliseconds. */
export interface RunningVersion { readonly version: string; readonly startedAt: number }

export class NewVersions {
  /** When each version was first seen, by service. */
  readonly #seen = new Map<string, Map<string, number>>();

  static of(): NewVersions {
    return new NewVersions();
  }

  /**
   * The versions that may be used as far as no order names them.
   *
   * @param confirmedAt since when nothing is missing from the orders that this instance knows
   */
  usable(
    service: string,
    running: readonly RunningVersion[],
    confirmedAt: number,
    now: number,
  ): readonly string[] {
    const seen = this.#seen.get(service) ?? new Map<string, number>();
    this.#seen.set(service, seen);
    running.forEach(({ version }) => {
      if (!seen.has(version)) seen.set(version, now);
    });
    seen.forEach((_, version) => {
      const isGone = !running.some((each) => each.version === version);
      if (isGone && seen.size > MAX_VERSIONS) seen.delete(version);
    });
    const settled = running.filter(({ version }) => (seen.get(version) ?? now) < confirmedAt);
    const [oldest] = [...running].sort((left, right) => left.startedAt - right.startedAt);
    const usable = settled.length > 0 || !oldest ? settled : [oldest];
    return usable.map(({ version }) => version);
  }
}
