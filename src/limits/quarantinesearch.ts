/**
 * Searches the evidence of crashes for quarantines, once for all that is learnt in one turn of the
 * event loop, and logs which begin and end.
 */
import { Subject } from 'rxjs';
import type { Observable, SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import { NO_EVIDENCE } from './crashevidence.js';
import type { CrashEvidence } from './crashevidence.js';
import { nameOf, quarantines } from './quarantine.js';
import type { Quarantine } from './quarantine.js';

export interface QuarantineSearchContext {
  readonly scheduler: SchedulerLike;
  readonly log: Log;
}

/** Those of a list whose names are not in another one. */
function without(
  list: readonly Quarantine[],
  others: readonly Quarantine[],
): readonly Quarantine[] {
  const names = new Set(others.map(nameOf));
  return list.filter((quarantine) => !names.has(nameOf(quarantine)));
}

export class QuarantineSearch {
  readonly #context: QuarantineSearchContext;

  readonly #evidence: () => CrashEvidence;

  readonly #changes = new Subject<void>();

  #found: readonly Quarantine[] = [];

  /** The evidence in which they were found. */
  #searched = NO_EVIDENCE;

  #isDue = false;

  private constructor(context: QuarantineSearchContext, evidence: () => CrashEvidence) {
    this.#context = context;
    this.#evidence = evidence;
  }

  static of(context: QuarantineSearchContext, evidence: () => CrashEvidence): QuarantineSearch {
    return new QuarantineSearch(context, evidence);
  }

  /** Emits when other requests than before are to be refused. */
  get changes(): Observable<void> {
    return this.#changes;
  }

  /** What is to be refused, by all evidence for which a search was scheduled. */
  get found(): readonly Quarantine[] {
    if (this.#isDue) this.run();
    return this.#found;
  }

  /** Searches soon, at the latest when the result is asked for. */
  schedule(): void {
    if (this.#isDue) return;
    this.#isDue = true;
    this.#context.scheduler.schedule(() => {
      if (this.#isDue) this.run();
    });
  }

  /** Searches now, if the evidence has changed. */
  run(): void {
    this.#isDue = false;
    const evidence = this.#evidence();
    if (this.#searched === evidence) return;
    this.#searched = evidence;
    const before = this.#found;
    this.#found = quarantines(evidence);
    const added = without(this.#found, before);
    const removed = without(before, this.#found);
    added.forEach((quarantine) => this.#logAdded(quarantine));
    removed.forEach((quarantine) => {
      const { kind } = quarantine;
      this.#context.log.event('info', kind === 'parts' ? 'parts_released' : 'request_released', {
        [kind]: nameOf(quarantine),
      });
    });
    if (added.length + removed.length > 0) this.#changes.next();
  }

  #logAdded(quarantine: Quarantine): void {
    const { log, scheduler } = this.#context;
    const { kind, crashes, until } = quarantine;
    log.event('warn', kind === 'parts' ? 'parts_quarantined' : 'request_quarantined', {
      [kind]: nameOf(quarantine),
      crashed: crashes.map(({ server }) => server).join(','),
      for_ms: Math.round(until - scheduler.now()),
    });
  }
}
