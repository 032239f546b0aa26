/** Callers that ask at random moments at a given rate, whatever the answers take. */
import { MAX_SEED } from '../src/common/random.js';
import type { Random } from '../src/common/random.js';
import { ask } from './caller.js';
import type { Outcome, Question } from './caller.js';
import { sleep } from './deployed.js';
import type { Deployed } from './deployed.js';
import { KEY, WORKSPACES } from './site.js';
import type { Group } from './site.js';

/** Distinct beginnings of prompts, which engines may have cached. */
const PREFIXES = 20;

export interface Asked {
  readonly group: Group;
  readonly outcome: Outcome;
  /** Times that the caller asked again, because its answer was not resumed. */
  readonly restarts: number;
}

function groupOf({ site }: Deployed, random: Random): Group {
  let left = random.fraction();
  return site.groups.find(({ share }) => {
    left -= share;
    return left < 0;
  }) ?? site.groups[0]!;
}

function questionOf(deployed: Deployed, group: Group, random: Random): Question {
  const prefix = `document ${random.integer(1, PREFIXES)} `.repeat(group.promptLength);
  const tail = `item ${random.identifier()}`;
  return {
    address: random.pick(deployed.daemons).address,
    key: `${KEY}-${random.integer(0, WORKSPACES - 1)}`,
    model: group.model,
    prompt: prefix.slice(0, group.promptLength) + tail,
    maxTokens: random.integer(Math.ceil(group.maxTokens / 2), group.maxTokens),
    seed: random.integer(0, MAX_SEED),
    priority: group.priority,
  };
}

/** Asks, and asks again from the start when the answer was left unfinished. */
async function askWhole(question: Question, group: Group): Promise<Asked> {
  let outcome = await ask(question);
  let restarts = 0;
  const first = outcome;
  while (restarts < 5 && outcome.detail.includes('"ran":"partly"')) {
    restarts += 1;
    // eslint-disable-next-line no-await-in-loop -- each asks after the one before
    const next = await ask(question);
    const atLoss = outcome.endedAt;
    const pause = next.endedAt - atLoss;
    // The caller reads on once the new answer has passed the place where the old one ended.
    const share = outcome.tokens / Math.max(1, next.tokens);
    const longest = { from: atLoss, ms: Math.max(next.firstTokenMs, pause * share) };
    outcome = {
      ...next,
      generation: first.generation,
      startedAt: first.startedAt,
      firstTokenMs: first.firstTokenMs,
      longest,
    };
  }
  return { group, outcome, restarts };
}

/** Asks for `durationMs` at `perSecond` and resolves once every answer has ended. */
export async function offer(
  deployed: Deployed,
  random: Random,
  perSecond: number,
  durationMs: number,
): Promise<readonly Asked[]> {
  const asked: Promise<Asked>[] = [];
  const until = performance.now() + durationMs;
  for (let at = performance.now(); at < until;) {
    at += (-Math.log(1 - random.fraction()) * 1_000) / perSecond;
    const group = groupOf(deployed, random);
    const question = questionOf(deployed, group, random);
    // eslint-disable-next-line no-await-in-loop -- arrivals are spread over time
    await sleep(Math.max(0, at - performance.now()));
    asked.push(askWhole(question, group));
  }
  return Promise.all(asked);
}
