/**
 * The choice of a backend server among those that may take a request. Each candidate's score is the
 * time until it would give the first token, in parts that the log shows. Among candidates with
 * nearly equal scores two are drawn at random and the less occupied one is taken, so that several
 * daemons with the same reports don't all send to the same server.
 */
import type { Random } from '../common/random.js';
import type { Favour } from '../configuration/configuration.js';
import type { Health } from '../engines/directory.js';

/** A round trip between availability zones, against one within a zone. */
const CROSS_ZONE_MS = 3;
/** What a silent server is worth avoiding; it is taken when no other is left. */
const SUSPECT_PENALTY_MS = 10_000;
/** Engine steps' worth of delay that a full server adds to each request against an empty one. */
const CONTENTION_STEPS = 4;
/** How much more cached prefixes count where engine work matters more than time. */
const RESOURCES_PREFILL_FACTOR = 4;
/** What another than the configured version is worth avoiding. */
const OTHER_VERSION_PENALTY_MS = 5_000;
/** Scores this much above the best still count as equal. */
const EQUAL_WITHIN_MS = 0.25;
const LOGGED = 4;

export interface Candidate {
  readonly server: string;
  readonly zone: string;
  readonly health: Health;
  /** Requests in flight there, and how many it handles at once. */
  readonly occupancy: number;
  readonly slots: number;
  readonly stepMs: number;
  /** Prefill work ahead of this request, as far as known. */
  readonly busyMs: number;
  /** Prefill work of this request after what is cached. */
  readonly prefillMs: number;
  /** The model version it would run; empty for services. */
  readonly version: string;
  /** Whether that is the version in the configuration. */
  readonly configured: boolean;
}

export interface Score {
  readonly candidate: Candidate;
  readonly waitMs: number;
  readonly prefillMs: number;
  readonly zoneMs: number;
  readonly healthMs: number;
  readonly versionMs: number;
  readonly totalMs: number;
}

export interface Choice {
  readonly chosen: Score;
  /** The best candidates, best first, for the log. */
  readonly weighed: readonly Score[];
}

export interface Weighing { readonly zone: string; readonly favour: Favour }

export type Chooser = (
  candidates: readonly Candidate[],
  weighing: Weighing,
  random: Random,
) => Choice;

function contentionMs({ occupancy, slots, stepMs }: Candidate): number {
  return (occupancy / Math.max(1, slots)) * CONTENTION_STEPS * stepMs;
}

function score(candidate: Candidate, { zone, favour }: Weighing): Score {
  const waitMs = candidate.busyMs + contentionMs(candidate);
  const factor = favour === 'resources' ? RESOURCES_PREFILL_FACTOR : 1;
  const prefillMs = candidate.prefillMs * factor;
  const zoneMs = candidate.zone === zone ? 0 : CROSS_ZONE_MS;
  const healthMs = candidate.health === 'suspect' ? SUSPECT_PENALTY_MS : 0;
  const versionMs = candidate.configured ? 0 : OTHER_VERSION_PENALTY_MS;
  const totalMs = waitMs + prefillMs + zoneMs + healthMs + versionMs;
  return {
    candidate, waitMs, prefillMs, zoneMs, healthMs, versionMs, totalMs,
  };
}

/** How full a server is; the part of a score that two equals are told apart by. */
function fullness({ candidate }: Score): number {
  return candidate.occupancy / Math.max(1, candidate.slots);
}

/** The best scores, best first, without sorting all. */
function bestOf(scores: readonly Score[], count: number): readonly Score[] {
  const best: Score[] = [];
  scores.forEach((each) => {
    const last = best.at(-1);
    if (last && best.length === count && last.totalMs <= each.totalMs) return;
    const at = best.findIndex(({ totalMs }) => totalMs > each.totalMs);
    best.splice(at < 0 ? best.length : at, 0, each);
    best.length = Math.min(best.length, count);
  });
  return best;
}

/** @param candidates at least one */
export function choose(
  candidates: readonly Candidate[],
  weighing: Weighing,
  random: Random,
): Choice {
  const scores = candidates.map((candidate) => score(candidate, weighing));
  const weighed = bestOf(scores, LOGGED);
  const bound = weighed[0]!.totalMs + EQUAL_WITHIN_MS;
  const equals = scores.filter(({ totalMs }) => totalMs <= bound);
  const first = random.pick(equals);
  const second = random.pick(equals);
  const chosen = fullness(second) < fullness(first) ? second : first;
  return { chosen, weighed };
}

/** What was weighed, one `server:total` for each of the best candidates. */
export function weighedText(choice: Choice): readonly string[] {
  return choice.weighed.map(({ candidate, totalMs }) => (
    `${candidate.server}:${totalMs.toFixed(1)}`));
}
