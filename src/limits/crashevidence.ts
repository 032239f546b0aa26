/**
 * The evidence against requests that crash servers (queries of death): a list of crashes, each with
 * the requests that the server had not yet sent an event of, and with the parts of their prompts. A
 * later answer to a request clears it, and the parts of its prompt.
 *
 * All functions are pure. Evidence can be merged in any order, and instances with the same evidence
 * come to the same conclusions.
 */

/** Crashes and answers are forgotten after this time. */
export const EVIDENCE_MS = 300_000;
/** Limits on the evidence; the oldest crashes are dropped first. */
const MAX_CRASHES = 128;
const MAX_PARTS = 16;
const MAX_PREVIOUS = 8;
const MAX_REQUESTS = 16;
/** Covers the time that a report is on the network, by which its times are late. */
const REPORT_DELAY_MS = 50;

/**
 * Identifies a request that is sent again. The part up to the first slash identifies it by its
 * caller, path and body alone, whatever its prompt.
 */
export type Fingerprint = string;

/** The fingerprint without the prompt. */
export function withoutPrompt(request: Fingerprint): Fingerprint {
  const end = request.indexOf('/');
  return end < 0 ? request : request.slice(0, end);
}

export interface Crash {
  readonly server: string;
  readonly at: number;
  /** When the server was last seen to run: a server may start again under its id. */
  readonly aliveAt: number;
  /** Whether the engine had sent the head of a response to a request with these parts. */
  readonly started: boolean;
  readonly parts: readonly string[];
  /** The requests that waited; empty from daemons that don't report them. */
  readonly requests: readonly Fingerprint[];
  /** Engines that had failed these requests before. */
  readonly previous: readonly string[];
}

export interface CrashEvidence {
  /** Oldest first. */
  readonly crashes: readonly Crash[];
  /** When a part or a request was last answered, for those that occur in `crashes`. */
  readonly answers: ReadonlyMap<string, number>;
}

export const NO_EVIDENCE: CrashEvidence = { crashes: [], answers: new Map() };

function union(left: readonly string[], right: readonly string[], limit: number): string[] {
  return [...new Set([...left, ...right])].sort().slice(0, limit);
}

/** Merges two reports of one crash; of its times the earlier is right, the later one travelled. */
function mergeCrash(left: Crash, right: Crash): Crash {
  const at = Math.min(left.at, right.at);
  const common = {
    at,
    aliveAt: Math.min(at, Math.max(left.aliveAt, right.aliveAt)),
    requests: union(left.requests, right.requests, MAX_REQUESTS),
  };
  if (left.started !== right.started) return { ...(left.started ? left : right), ...common };
  return {
    ...left,
    ...common,
    parts: union(left.parts, right.parts, MAX_PARTS),
    previous: union(left.previous, right.previous, MAX_PREVIOUS),
  };
}

function holdsAll(items: readonly string[], others: readonly string[]): boolean {
  return others.every((other) => items.includes(other));
}

/** Whether a report shows nothing that is not known of its crash. */
function addsNothing(known: Crash, crash: Crash): boolean {
  if (crash.at < known.at || (crash.started && !known.started)) return false;
  return holdsAll(known.requests, crash.requests) && (known.started !== crash.started || (
    holdsAll(known.parts, crash.parts) && holdsAll(known.previous, crash.previous)));
}

function isSameSet(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((item) => right.includes(item));
}

/** Whether two states of one crash differ at most in its time. */
export function isSameState(left: Crash, right: Crash): boolean {
  return left.started === right.started && isSameSet(left.parts, right.parts)
    && isSameSet(left.previous, right.previous) && isSameSet(left.requests, right.requests);
}

/** Whether two reports are of one crash: the server was not seen to run between them. */
export function isSameCrash(left: Crash, right: Crash): boolean {
  return left.server === right.server && left.aliveAt <= right.at + REPORT_DELAY_MS
    && right.aliveAt <= left.at + REPORT_DELAY_MS;
}

interface Subjects {
  /** The requests, with their prompts and without. */
  readonly requests: ReadonlySet<Fingerprint>;
  /** The parts and requests. */
  readonly all: ReadonlySet<string>;
}

/** Evidence is searched far more often than it changes. */
const knownSubjects = new WeakMap<Crash, Subjects>();

function readSubjects(crash: Crash): Subjects {
  const known = knownSubjects.get(crash);
  if (known) return known;
  const requests = new Set([...crash.requests, ...crash.requests.map(withoutPrompt)]);
  const subjects = { requests, all: new Set([...crash.parts, ...requests]) };
  knownSubjects.set(crash, subjects);
  return subjects;
}

/** The requests that a crash may count against, with their prompts and without. */
export function requestsOf(crash: Crash): ReadonlySet<Fingerprint> {
  return readSubjects(crash).requests;
}

/** The parts and requests that a crash may count against. */
export function subjectsOf(crash: Crash): ReadonlySet<string> {
  return readSubjects(crash).all;
}

/** Leaves out what is too old or too much, and the answers to what occurs in no crash. */
function prune({ crashes, answers }: CrashEvidence, now: number): CrashEvidence {
  const kept = crashes.filter(({ at }) => at > now - EVIDENCE_MS).slice(-MAX_CRASHES);
  const subjects = new Set(kept.flatMap((crash) => [...subjectsOf(crash)]));
  return {
    crashes: kept,
    answers: new Map([...answers].filter(([subject]) => subjects.has(subject))),
  };
}

/** Whether all subjects of a crash are among those of what it was merged into. */
function keepsSubjects(crash: Crash, merged: Crash): boolean {
  const subjects = subjectsOf(merged);
  return [...subjectsOf(crash)].every((subject) => subjects.has(subject));
}

/** Adds a crash, which this instance or another has observed. */
export function withCrash(evidence: CrashEvidence, crash: Crash, now: number): CrashEvidence {
  const { crashes, answers } = evidence;
  const known = crashes.find((other) => isSameCrash(other, crash));
  if (known && addsNothing(known, crash)) return evidence;
  const merged = known ? mergeCrash(known, crash) : crash;
  if (known && known.at === merged.at && isSameState(known, merged)) return evidence;
  const others = crashes.filter((other) => other !== known);
  const sorted = [...others, merged].sort((left, right) => left.at - right.at);
  const isWhole = sorted.length <= MAX_CRASHES && sorted[0]!.at > now - EVIDENCE_MS
    && (!known || keepsSubjects(known, merged));
  return isWhole ? { crashes: sorted, answers } : prune({ crashes: sorted, answers }, now);
}

/** Adds an answer to a request, or to one with a part, unless it clears nothing. */
export function withAnswer(evidence: CrashEvidence, subject: string, at: number): CrashEvidence {
  const { crashes, answers } = evidence;
  const known = answers.get(subject);
  const clears = crashes.some((crash) => (
    (known === undefined || (known < crash.at && crash.at <= at))
    && subjectsOf(crash).has(subject)));
  return clears ? { crashes, answers: new Map(answers).set(subject, at) } : evidence;
}

/** Whether an answer since the crash shows that this was not its cause. */
export function isCleared({ answers }: CrashEvidence, subject: string, crash: Crash): boolean {
  return crash.at <= (answers.get(subject) ?? -Infinity);
}

/** Forgets what is older than `EVIDENCE_MS`. */
export function withoutExpired(evidence: CrashEvidence, now: number): CrashEvidence {
  const oldest = evidence.crashes[0];
  return oldest && oldest.at <= now - EVIDENCE_MS ? prune(evidence, now) : evidence;
}

/** Whether two lists, each a part of one evidence, hold the same crashes. */
export function isSameList(left: readonly Crash[], right: readonly Crash[]): boolean {
  return left.length === right.length && left.every((crash, index) => crash === right[index]);
}
