/**
 * Finds prompt parts that crash every engine which begins to answer a request with them (queries of
 * death). The evidence is a list of engine crashes, each with the parts of the requests that the
 * engine had not yet sent an event of. A later answer to a request with a part clears the part.
 *
 * A crash also hits requests that only ran beside the cause. So it counts against the requests that
 * the engine had begun to answer, if there were any; crashes that one part explains don't count
 * against others; and crashes close together, such as those of one rack, count once, unless one
 * request went from the first engine to the second.
 *
 * All functions are pure. Evidence can be merged in any order, and instances with the same evidence
 * find the same parts.
 */

/** Crashes and answers are forgotten after this time. */
export const EVIDENCE_MS = 300_000;
/** Crashes within this time of each other count as one incident. */
const INCIDENT_MS = 300;
/** Weights of an incident: a request that waits for its head is hit by accident far more often. */
const STARTED_WEIGHT = 2;
const WAITING_WEIGHT = 1;
/** Weight of the incidents without an answer after which a part is quarantined. */
const MIN_WEIGHT = 3 * STARTED_WEIGHT;
/** The same for a part that was answered before, and so is likelier to be hit by accident. */
const MIN_WEIGHT_AFTER_ANSWER = 4 * STARTED_WEIGHT;
/** Limits on the evidence; the oldest crashes are dropped first. */
const MAX_CRASHES = 128;
const MAX_PARTS = 16;
const MAX_PREVIOUS = 8;

export interface Crash {
  /** Id of the engine, which is another one after each start. */
  readonly server: string;
  readonly at: number;
  /** Whether the engine had sent the head of a response to a request with these parts. */
  readonly started: boolean;
  readonly parts: readonly string[];
  /** Engines that had failed these requests before. */
  readonly previous: readonly string[];
}

export interface CrashEvidence {
  /** Oldest first. */
  readonly crashes: readonly Crash[];
  /** When a request with a part was last answered, for parts that occur in `crashes`. */
  readonly answers: ReadonlyMap<string, number>;
}

/** Parts of which each may be innocent; requests that have all of them are refused. */
export interface Quarantine {
  readonly parts: readonly string[];
  readonly crashes: readonly Crash[];
  /** When too few crashes are left of it, unless others follow. */
  readonly until: number;
}

export const NO_EVIDENCE: CrashEvidence = { crashes: [], answers: new Map() };

function union(left: readonly string[], right: readonly string[], limit: number): string[] {
  return [...new Set([...left, ...right])].sort().slice(0, limit);
}

/** Merges two reports of one crash; of its times the earlier is right, the later one travelled. */
function mergeCrash(left: Crash, right: Crash): Crash {
  const at = Math.min(left.at, right.at);
  if (left.started !== right.started) return { ...(left.started ? left : right), at };
  return {
    ...left,
    at,
    parts: union(left.parts, right.parts, MAX_PARTS),
    previous: union(left.previous, right.previous, MAX_PREVIOUS),
  };
}

function isSameSet(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((item) => right.includes(item));
}

/** Whether two states of one crash differ at most in its time. */
export function isSameCrash(left: Crash, right: Crash): boolean {
  return left.started === right.started && isSameSet(left.parts, right.parts)
    && isSameSet(left.previous, right.previous);
}

/** Leaves out what is too old or too much, and the answers to parts that occur in no crash. */
function prune({ crashes, answers }: CrashEvidence, now: number): CrashEvidence {
  const kept = crashes.filter(({ at }) => at > now - EVIDENCE_MS).slice(-MAX_CRASHES);
  const parts = new Set(kept.flatMap((crash) => crash.parts));
  return { crashes: kept, answers: new Map([...answers].filter(([part]) => parts.has(part))) };
}

/** Adds a crash, which this instance or another has observed. */
export function withCrash(evidence: CrashEvidence, crash: Crash, now: number): CrashEvidence {
  const { crashes, answers } = evidence;
  const known = crashes.find(({ server }) => server === crash.server);
  const merged = known ? mergeCrash(known, crash) : crash;
  if (known && known.at === merged.at && isSameCrash(known, merged)) return evidence;
  const others = crashes.filter((other) => other !== known);
  const sorted = [...others, merged].sort((left, right) => left.at - right.at);
  return prune({ crashes: sorted, answers }, now);
}

/** Adds an answer to a request with a part, unless it clears nothing. */
export function withAnswer(evidence: CrashEvidence, part: string, at: number): CrashEvidence {
  const { crashes, answers } = evidence;
  const known = answers.get(part);
  const clears = crashes.some((crash) => crash.parts.includes(part)
    && (known === undefined || (known < crash.at && crash.at <= at)));
  return clears ? { crashes, answers: new Map(answers).set(part, at) } : evidence;
}

/** Forgets what is older than `EVIDENCE_MS`. */
export function withoutExpired(evidence: CrashEvidence, now: number): CrashEvidence {
  const oldest = evidence.crashes[0];
  return oldest && oldest.at <= now - EVIDENCE_MS ? prune(evidence, now) : evidence;
}

/** Whether a request went from one of these engines to the other after the first had crashed. */
function areConsecutive(left: Crash, right: Crash): boolean {
  return left.previous.includes(right.server) || right.previous.includes(left.server);
}

/** Crashes with one cause in common. */
interface Incident {
  readonly at: number;
  readonly weight: number;
  readonly crashes: readonly Crash[];
}

function withIncident(incidents: readonly Incident[], crash: Crash): readonly Incident[] {
  const weight = crash.started ? STARTED_WEIGHT : WAITING_WEIGHT;
  const last = incidents.at(-1);
  const isNew = !last || crash.at - last.at >= INCIDENT_MS
    || last.crashes.some((other) => areConsecutive(other, crash));
  if (isNew) return [...incidents, { at: crash.at, weight, crashes: [crash] }];
  const crashes = [...last.crashes, crash];
  return [...incidents.slice(0, -1), { ...last, weight: Math.max(last.weight, weight), crashes }];
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
function crashesByPart({ crashes, answers }: CrashEvidence): ReadonlyMap<string, readonly Crash[]> {
  const byPart = new Map<string, Crash[]>();
  crashes.forEach((crash) => crash.parts.forEach((part) => {
    if (crash.at <= (answers.get(part) ?? -Infinity)) return;
    const others = byPart.get(part);
    if (others) others.push(crash);
    else byPart.set(part, [crash]);
  }));
  return byPart;
}

/** The parts with enough crashes since their last answer, those with the most first. */
function suspects(evidence: CrashEvidence): readonly Suspect[] {
  return [...crashesByPart(evidence)].map(([part, crashes]): Suspect => ({
    part,
    crashes,
    incidents: crashes.reduce(withIncident, []),
    required: evidence.answers.has(part) ? MIN_WEIGHT_AFTER_ANSWER : MIN_WEIGHT,
  })).filter(({ incidents, required }) => totalWeight(incidents) >= required)
    .sort((left, right) => totalWeight(right.incidents) - totalWeight(left.incidents)
      || left.required - right.required || (left.part < right.part ? -1 : 1));
}

/** When so many incidents are forgotten that the others don't suffice. */
function endOf({ incidents, required }: Suspect): number {
  const last = incidents.findLast((_, index) => totalWeight(incidents.slice(index)) >= required);
  return last!.at + EVIDENCE_MS;
}

function isSame(left: readonly Crash[], right: readonly Crash[]): boolean {
  return left.length === right.length && left.every((crash, index) => crash === right[index]);
}

function quarantineBy(suspect: Suspect, parts: readonly Suspect[]): Quarantine {
  return {
    parts: parts.map(({ part }) => part), crashes: suspect.crashes, until: endOf(suspect),
  };
}

/**
 * What to refuse for the suspect with the most crashes. If others with a part of its crashes each
 * explain all of them together, it may be innocent: only requests with one of those are refused.
 */
function quarantinesFor(first: Suspect, others: readonly Suspect[]): readonly Quarantine[] {
  const subsets = others.filter(({ crashes }) => (
    crashes.every((crash) => first.crashes.includes(crash))));
  const same = [first, ...subsets.filter(({ crashes }) => isSame(crashes, first.crashes))];
  const narrower = subsets.filter((suspect) => !same.includes(suspect));
  const isCovered = first.crashes.every((crash) => (
    narrower.some(({ crashes }) => crashes.includes(crash))));
  return isCovered
    ? narrower.map((suspect) => quarantineBy(suspect, [...same, suspect]))
    : [quarantineBy(first, same)];
}

/** The parts whose requests are to be refused. */
export function quarantines(evidence: CrashEvidence): readonly Quarantine[] {
  const [first, ...others] = suspects(evidence);
  if (!first) return [];
  const unexplained = evidence.crashes.filter((crash) => !first.crashes.includes(crash));
  return [
    ...quarantinesFor(first, others), ...quarantines({ ...evidence, crashes: unexplained }),
  ];
}

/** The quarantine that a request with these parts falls under; undefined if there is none. */
export function quarantineOf(
  found: readonly Quarantine[],
  parts: readonly string[],
): Quarantine | undefined {
  return found.find((quarantine) => quarantine.parts.every((part) => parts.includes(part)));
}
