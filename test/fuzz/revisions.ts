/**
 * Checks the promise on configuration: an accepted change takes effect on every reachable instance
 * in time, and no instance returns to an earlier revision.
 */
import type { Configuration } from '../../src/configuration/configuration.js';

/** Longest time from acceptance until a change takes effect on a reachable instance. */
export const CONFIGURATION_BOUND_MS = 3_000;

/** Whether a configuration includes a change of one file. */
export type ChangeCheck = (configuration: Configuration) => boolean;

interface Accepted {
  readonly revision: number;
  readonly file: string;
  readonly shows: ChangeCheck;
  readonly at: number;
}

export class Revisions {
  readonly #now: () => number;

  readonly #report: (what: string) => void;

  readonly #accepted: Accepted[] = [];

  /** Number of changes of each file whose outcome is not yet known or stays unknown. */
  readonly #open = new Map<string, number>();

  readonly #highest = new Map<string, number>();

  private constructor(now: () => number, report: (what: string) => void) {
    this.#now = now;
    this.#report = report;
  }

  static of(now: () => number, report: (what: string) => void): Revisions {
    return new Revisions(now, report);
  }

  /** Starts a change of `file`; call the result with its outcome, unless that stays unknown. */
  change(file: string, shows: ChangeCheck): (revision: number | undefined) => void {
    this.#open.set(file, (this.#open.get(file) ?? 0) + 1);
    return (revision) => {
      this.#open.set(file, this.#open.get(file)! - 1);
      if (revision === undefined) return;
      this.#accepted.push({
        revision, file, shows, at: this.#now(),
      });
    };
  }

  /**
   * @param run name of one run of the daemon's process
   * @param reachable whether the daemon has been able to receive messages for a while
   */
  sample(run: string, configuration: Configuration, reachable: boolean): void {
    const { revision } = configuration;
    const highest = this.#highest.get(run) ?? 0;
    if (revision < highest) this.#report(`${run} went back from ${highest} to ${revision}`);
    this.#highest.set(run, Math.max(highest, revision));
    const due = this.#accepted
      .find((change) => change.revision > revision
        && this.#now() - change.at > CONFIGURATION_BOUND_MS);
    if (due && reachable) {
      this.#report(`${run} is at ${revision}, ${due.revision} was accepted ${
        this.#now() - due.at} ms ago`);
    }
    this.#checkShown(run, configuration);
  }

  #checkShown(run: string, configuration: Configuration): void {
    const latest = new Map<string, Accepted>();
    this.#accepted.filter(({ revision }) => revision <= configuration.revision)
      .forEach((change) => {
        const known = latest.get(change.file);
        if (!known || known.revision < change.revision) latest.set(change.file, change);
      });
    latest.forEach(({ file, revision, shows }) => {
      if ((this.#open.get(file) ?? 0) > 0 || shows(configuration)) return;
      this.#report(`${run} at ${configuration.revision} lost ${file} of ${revision}`);
    });
  }
}
