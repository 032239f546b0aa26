/**
 * Finds prompt parts that crash every engine which begins to answer a request with them.
 *
 * A crash also hits requests that only ran beside the cause. So it counts against the requests that
 * the engine had begun to answer, if there were any; crashes that one part explains don't count
 * against others; and crashes close together, such as those of one rack, count once, unless one
 * request went from the first engine to the second. What few requests explain by themselves does
 * not count against a part, which others may share.
 */
import { EVIDENCE_MS, isCleared, isSameList } from './crashevidence.js';
import type { Crash, CrashEvidence, Fingerprint } from './crashevidence.js';

/** Crashes within this time of each other count as one incident. */
const INCIDENT_MS = 300;
/** Weights of an incident: a request that waits for its head is hit by accident far more often. */
const STARTED_WEIGHT = 2;
const WAITING_WEIGHT = 1;
/** Weight of the incidents without an answer after which a part is quarantined. */
const MIN_WEIGHT = 3 * STARTED_WEIGHT;
/** The same for a part that was answered before, and so is likelier to be hit by accident. */
const MIN_WEIGHT_AFTER_ANSWER = 4 * STARTED_WEIGHT;
/** Requests that must have crashed engines before their part is to blame. */
const MIN_REQUESTS = 2;
/** The same for a part that was answered before: likelier, some of its requests are. */
const MIN_REQUESTS_AFTER_ANSWER = 3;

/** Parts of which each may be innocent; requests that have all of them are refused. */
export interface PartQuarantine {
  readonly kind: 'parts';
  readonly parts: readonly string[];
  readonly crashes: readonly Crash[];
  /** When too few crashes are left of it, unless others follow. */
  readonly until: number;
}

/** Whether a request went from one of these engines to the other after the first had crashed. */
function areConsecutive(left: Crash, right: Crash): boolean {
  return left.previous.includes(right.server) || right.previous.includes(left.server);
}

/** Crashes with one cause in common. */
interface Incident {
  readonly at: number;
  readonly weight: number;
}

/** The incidents of crashes, which are given the oldest first. */
function incidentsOf(crashes: readonly Crash[]): readonly Incident[] {
  const incidents: Incident[] = [];
  let together: Crash[] = [];
  crashes.forEach((crash) => {
    const weight = crash.started ? STARTED_WEIGHT : WAITING_WEIGHT;
    const last = incidents.at(-1);
    const isNew = !last || crash.at - last.at >= INCIDENT_MS
      || together.some((other) => areConsecutive(other, crash));
    if (isNew) {
      incidents.push({ at: crash.at, weight });
      together = [crash];
    } else {
      incidents[incidents.length - 1] = { ...last, weight: Math.max(last.weight, weight) };
      together.push(crash);
    }
  });
  return incidents;
}

function totalWeight(incidents: readonly Incident[]): number {
  return incidents.reduce((sum, { weight }) => sum + weight, 0);
}

interface Suspect {
  readonly part: string;
  readonly crashes: readonly Crash[];
  readonly incidents: readonly Incident[];
  readonly required: number;
}

/** The crashes that count against each part: those since its last answer. */
function crashesByPart(evidence: CrashEvidence): ReadonlyMap<string, readonly Crash[]> {
  const byPart = new Map<string, Crash[]>();
  evidence.crashes.forEach((crash) => crash.parts.forEach((part) => {
    if (isCleared(evidence, part, crash)) return;
    const others = byPart.get(part);
    if (others) others.push(crash);
    else byPart.set(part, [crash]);
  }));
  return byPart;
}

/** The request that waited in most of the crashes, and may be to blame for them. */
function mostFrequentRequest(
  crashes: readonly Crash[],
  evidence: CrashEvidence,
): Fingerprint | undefined {
  const counts = new Map<Fingerprint, number>();
  crashes.forEach((crash) => crash.requests.forEach((request) => {
    if (!isCleared(evidence, request, crash)) counts.set(request, (counts.get(request) ?? 0) + 1);
  }));
  let [most, mostCount]: [Fingerprint | undefined, number] = [undefined, 0];
  counts.forEach((count, request) => {
    const isFirst = most === undefined || request < most;
    if (count > mostCount || (count === mostCount && isFirst)) [most, mostCount] = [request, count];
  });
  return most;
}

/** Whether so many requests, or more, explain the crashes without a part that they share. */
function needRequests(crashes: readonly Crash[], count: number, evidence: CrashEvidence): boolean {
  if (count <= 0) return true;
  const request = mostFrequentRequest(crashes, evidence);
  if (request === undefined) return crashes.length >= count;
  const others = crashes.filter(({ requests }) => !requests.includes(request));
  return needRequests(others, count - 1, evidence);
}

/** The parts with enough crashes since their last answer, those with the most first. */
function suspects(evidence: CrashEvidence): readonly Suspect[] {
  return [...crashesByPart(evidence)].map(([part, crashes]): Suspect => ({
    part,
    crashes,
    incidents: incidentsOf(crashes),
    required: evidence.answers.has(part) ? MIN_WEIGHT_AFTER_ANSWER : MIN_WEIGHT,
  })).filter(({ incidents, required }) => totalWeight(incidents) >= required)
    .filter(({ part, crashes }) => {
      const count = evidence.answers.has(part) ? MIN_REQUESTS_AFTER_ANSWER : MIN_REQUESTS;
      return needRequests(crashes, count, evidence);
    })
    .sort((left, right) => totalWeight(right.incidents) - totalWeight(left.incidents)
      || left.required - right.required || (left.part < right.part ? -1 : 1));
}

/** When so many incidents are forgotten that the others don't suffice. */
function endOf({ incidents, required }: Suspect): number {
  const last = incidents.findLast((_, index) => totalWeight(incidents.slice(index)) >= required);
  return last!.at + EVIDENCE_MS;
}

function quarantineBy(suspect: Suspect, parts: readonly Suspect[]): PartQuarantine {
  return {
    kind: 'parts',
    parts: parts.map(({ part }) => part),
    crashes: suspect.crashes,
    until: endOf(suspect),
  };
}

/**
 * What to refuse for the suspect with the most crashes. If others with a part of its crashes each
 * explain all of them together, it may be innocent: only requests with one of those are refused.
 */
function quarantinesFor(
  first: Suspect,
  others: readonly Suspect[],
): readonly PartQuarantine[] {
  const explained = new Set(first.crashes);
  const subsets = others.filter(({ crashes }) => crashes.every((crash) => explained.has(crash)));
  const same = [first, ...subsets.filter(({ crashes }) => isSameList(crashes, first.crashes))];
  const narrower = subsets.filter(({ crashes }) => !isSameList(crashes, first.crashes));
  const covered = new Set(narrower.flatMap(({ crashes }) => crashes));
  const isCovered = first.crashes.every((crash) => covered.has(crash));
  return isCovered
    ? narrower.map((suspect) => quarantineBy(suspect, [...same, suspect]))
    : [quarantineBy(first, same)];
}

/** The parts whose requests are to be refused. */
export function partQuarantines(evidence: CrashEvidence): readonly PartQuarantine[] {
  const [first, ...others] = suspects(evidence);
  if (!first) return [];
  const explained = new Set(first.crashes);
  const unexplained = evidence.crashes.filter((crash) => !explained.has(crash));
  return [
    ...quarantinesFor(first, others), ...partQuarantines({ ...evidence, crashes: unexplained }),
  ];
}
