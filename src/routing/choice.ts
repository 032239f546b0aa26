/**
 * Chooses a backend server among the candidates for a request. A candidate's score is the estimated
 * time to first token, as a sum of terms that are logged separately. Ties within a small tolerance
 * are broken by power of two choices: two candidates are drawn at random and the less utilized one
 * is taken, so that daemons with the same reports don't all send to the same server.
 */
import type { Random } from '../common/random.js';
import type { Favour } from '../configuration/configuration.js';
import type { Health } from '../engines/directory.js';

/** Added latency of a round trip between availability zones over one within a zone. */
const CROSS_ZONE_MS = 3;
/** Penalty for a suspect server: large enough that it is used only when no other is left. */
const SUSPECT_PENALTY_MS = 10_000;
/** Delay, in engine steps, that a full server adds to each request compared with an empty one. */
const CONTENTION_STEPS = 4;
/** Multiplies prefill time when the deployment favours saving engine resources over latency. */
const RESOURCES_PREFILL_FACTOR = 4;
/** Penalty for running another model version than the configured one. */
const OTHER_VERSION_PENALTY_MS = 5_000;
/** Scores within this distance of the lowest count as equal. */
const EQUAL_WITHIN_MS = 0.25;
const LOGGED_SCORES = 4;

export interface Candidate {
  readonly server: string;
  readonly zone: string;
  readonly health: Health;
  /** Requests in flight at the server, and the number it runs concurrently. */
  readonly occupancy: number;
  readonly slots: number;
  readonly stepMs: number;
  /** Prefill work queued before this request, as far as this daemon knows. */
  readonly busyMs: number;
  /** Prefill time of this request, excluding the cached prefix. */
  readonly prefillMs: number;
  /** The model version that the server would run; empty for services. */
  readonly version: string;
  /** Whether `version` is the configured version; true for services. */
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
  /** The candidates with the lowest scores, lowest first, for the log. */
  readonly weighed: readonly Score[];
}

export interface Preferences { readonly zone: string; readonly favour: Favour }

export type Chooser = (
  candidates: readonly Candidate[],
  preferences: Preferences,
  random: Random,
) => Choice;

function contentionMs({ occupancy, slots, stepMs }: Candidate): number {
  return (occupancy / Math.max(1, slots)) * CONTENTION_STEPS * stepMs;
}

function score(candidate: Candidate, { zone, favour }: Preferences): Score {
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

/** Fraction of the server's slots in use, which breaks ties. */
function fullness({ candidate }: Score): number {
  return candidate.occupancy / Math.max(1, candidate.slots);
}

/** The `count` lowest scores in ascending order, without sorting all of them. */
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

/**
 * Chooses one of the candidates.
 *
 * @param candidates at least one
 */
export function choose(
  candidates: readonly Candidate[],
  weighing: Preferences,
  random: Random,
): Choice {
  const scores = candidates.map((candidate) => score(candidate, weighing));
  const weighed = bestOf(scores, LOGGED_SCORES);
  const bound = weighed[0]!.totalMs + EQUAL_WITHIN_MS;
  const ties = scores.filter(({ totalMs }) => totalMs <= bound);
  const first = random.pick(ties);
  const second = random.pick(ties);
  const chosen = fullness(second) < fullness(first) ? second : first;
  return { chosen, weighed };
}

/** The candidates with the lowest scores as `server:total`, for the log. */
export function weighedText(choice: Choice): readonly string[] {
  return choice.weighed.map(({ candidate, totalMs }) => (
    `${candidate.server}:${totalMs.toFixed(1)}`));
}
