/**
 * Finds requests that crash every server which runs them, by their fingerprints. A crash also hits
 * requests that waited beside the cause, so crashes that one request explains don't count against
 * others. Of requests that waited in the same crashes each may be the cause.
 */
import {
  EVIDENCE_MS, isCleared, isSameList, requestsOf, withoutPrompt,
} from './crashevidence.js';
import type { Crash, CrashEvidence, Fingerprint } from './crashevidence.js';

/** Crashes without an answer after which a request is refused. */
const MIN_CRASHES = 3;
/** The same for a request that was answered before, and so is likelier to be hit by accident. */
const MIN_CRASHES_AFTER_ANSWER = 4;

export interface RequestQuarantine {
  readonly kind: 'request';
  readonly request: Fingerprint;
  readonly crashes: readonly Crash[];
  /** When too few crashes are left, unless others follow. */
  readonly until: number;
}

interface Suspect {
  readonly request: Fingerprint;
  /** Those since the last answer, oldest first. */
  readonly crashes: readonly Crash[];
  readonly required: number;
}

/** The crashes that count against each request, with its prompt and without. */
function crashesByRequest(evidence: CrashEvidence): ReadonlyMap<Fingerprint, readonly Crash[]> {
  const byRequest = new Map<Fingerprint, Crash[]>();
  evidence.crashes.forEach((crash) => {
    requestsOf(crash).forEach((request) => {
      if (isCleared(evidence, request, crash)) return;
      const others = byRequest.get(request);
      if (others) others.push(crash);
      else byRequest.set(request, [crash]);
    });
  });
  return byRequest;
}

/** The requests with enough crashes since their last answer, those with the most first. */
function suspects(evidence: CrashEvidence): readonly Suspect[] {
  return [...crashesByRequest(evidence)].map(([request, crashes]): Suspect => ({
    request,
    crashes,
    required: evidence.answers.has(request) ? MIN_CRASHES_AFTER_ANSWER : MIN_CRASHES,
  })).filter(({ crashes, required }) => crashes.length >= required)
    .sort((left, right) => right.crashes.length - left.crashes.length
      || (left.request < right.request ? -1 : 1));
}

function quarantineBy({ request, crashes, required }: Suspect): RequestQuarantine {
  return {
    kind: 'request', request, crashes, until: crashes.at(-required)!.at + EVIDENCE_MS,
  };
}

/** Leaves out requests that stand in the list with their prompt as well. */
function mostSpecific(list: readonly Suspect[]): readonly Suspect[] {
  const bodies = new Set(list.map(({ request }) => request)
    .filter((request) => withoutPrompt(request) !== request).map(withoutPrompt));
  return list.filter(({ request }) => !bodies.has(request));
}

/** The requests that are to be refused. */
export function requestQuarantines(evidence: CrashEvidence): readonly RequestQuarantine[] {
  const [first, ...others] = suspects(evidence);
  if (!first) return [];
  const same = [first, ...others.filter(({ crashes }) => isSameList(crashes, first.crashes))];
  const explained = new Set(first.crashes);
  const unexplained = evidence.crashes.filter((crash) => !explained.has(crash));
  return [
    ...mostSpecific(same).map(quarantineBy),
    ...requestQuarantines({ ...evidence, crashes: unexplained }),
  ];
}
