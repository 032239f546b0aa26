/** Operators who race over one folder while daemons come and go, and what became of their edits. */
import type { Publication } from '../src/configuration/publisher.js';
import type { Random } from '../src/common/random.js';
import { sleep } from './deployed.js';
import type { ControlFleet } from './controlfleet.js';

/** Two operators race over each file. */
const OPERATORS_PER_FILE = 2;
const PAUSE_MS = 300;

/** One edit of one operator. */
export interface EditRecord {
  readonly file: string;
  readonly text: string;
  /** `unknown`: its answer was lost, so that it may have been accepted. */
  readonly outcome: 'accepted' | 'refused' | 'unknown';
  readonly revision: number;
}

export interface Verdict {
  readonly accepted: number;
  readonly refused: number;
  readonly unknown: number;
  /** Accepted edits that are not in the folder though nobody's later edit replaced them. */
  readonly lost: number;
  /** Times that a daemon went to a lower revision than it had before, over its restarts too. */
  readonly steppedBack: number;
  /** Daemons that don't work by the final revision. */
  readonly behind: number;
}

function textOf(operator: number, round: number): string {
  return `# operator ${operator}, edit ${round}\n[workspaces.w${operator}]\n`
    + `key_hashes = ["${operator.toString(16).padStart(64, '0')}"]\nweight = ${round + 1}\n`;
}

function outcomeOf(publication: Publication): Pick<EditRecord, 'outcome' | 'revision'> {
  switch (publication.kind) {
    case 'accepted': return { outcome: 'accepted', revision: publication.revision };
    case 'unchanged': return { outcome: 'accepted', revision: publication.revision };
    case 'unsettled': return { outcome: 'unknown', revision: 0 };
    case 'conflict':
    case 'base_unknown':
    case 'invalid':
    case 'empty':
    case 'no_such_file':
    case 'too_large':
    case 'unavailable':
      return { outcome: 'refused', revision: 0 };
  }
}

/** One operator's edits, each through any daemon and from what it pulled there before. */
async function operate(
  fleet: ControlFleet,
  operator: number,
  edits: number,
  random: Random,
): Promise<readonly EditRecord[]> {
  const file = `op-${String(Math.floor(operator / OPERATORS_PER_FILE)).padStart(2, '0')}.toml`;
  const records: EditRecord[] = [];
  /* eslint-disable no-await-in-loop -- an operator makes one edit after the other */
  for (let round = 0; round < edits; round += 1) {
    await sleep(random.jitter(PAUSE_MS, 0.9));
    const { configuration } = random.pick(fleet.daemons).connection;
    const text = textOf(operator, round);
    const known = await configuration.pull.query().catch(() => undefined);
    if (known) {
      const made = await configuration.put.mutate({
        file, text, who: `operator-${operator}`, base: known.revision,
      }).then(outcomeOf, () => ({ outcome: 'unknown' as const, revision: 0 }));
      records.push({ file, text, ...made });
    }
  }
  /* eslint-enable no-await-in-loop */
  return records;
}

/** Lets `operators` make `edits` each at once. */
export async function race(
  fleet: ControlFleet,
  operators: number,
  edits: number,
  random: Random,
): Promise<readonly EditRecord[]> {
  const made = await Promise.all(Array.from({ length: operators }, (_, operator) => (
    operate(fleet, operator, edits, random))));
  return made.flat();
}

/** Accepted edits that the folder lacks; one whose answer was lost may have replaced another. */
function lostEdits(
  records: readonly EditRecord[],
  files: Readonly<Record<string, string>>,
): readonly EditRecord[] {
  return [...new Set(records.map(({ file }) => file))].flatMap((file) => {
    const own = records.filter((record) => record.file === file);
    const last = own.filter(({ outcome }) => outcome === 'accepted')
      .reduce<EditRecord | undefined>((latest, record) => (
        latest && latest.revision > record.revision ? latest : record), undefined);
    const allowed = own.filter(({ outcome }) => outcome === 'unknown').map(({ text }) => text);
    if (!last || files[file] === last.text || allowed.includes(files[file] ?? '')) return [];
    return [last];
  });
}

function stepsBack(revisions: readonly number[]): number {
  return revisions.filter((revision, index) => revision < (revisions[index - 1] ?? 0)).length;
}

/** What became of the edits, once every daemon has had time to learn of the last one. */
export async function judge(
  fleet: ControlFleet,
  records: readonly EditRecord[],
): Promise<Verdict> {
  const { revision, files } = await fleet.daemons[0]!.connection.configuration.pull.query();
  const reached = await Promise.allSettled(fleet.daemons
    .map((daemon) => daemon.inForce(revision, 5_000)));
  const count = (outcome: EditRecord['outcome']) => (
    records.filter((record) => record.outcome === outcome).length);
  return {
    accepted: count('accepted'),
    refused: count('refused'),
    unknown: count('unknown'),
    lost: lostEdits(records, files).length,
    steppedBack: fleet.daemons.reduce((sum, { revisions }) => sum + stepsBack(revisions), 0),
    behind: reached.filter(({ status }) => status === 'rejected').length,
  };
}
