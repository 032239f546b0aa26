/** The commands that read and change the configuration. */
import { readFile } from 'node:fs/promises';
import { basename } from 'node:path';
import { userInfo } from 'node:os';
import { checkFolder, explain } from '../configuration/check.js';
import { hasErrors } from '../common/finding.js';
import { MILLISECONDS_PER_SECOND } from '../common/time.js';
import type { Publication } from '../configuration/publisher.js';
import type { FileChange } from '../configuration/stored.js';
import { DAEMON_OPTIONS } from './command.js';
import type { Command, ExitCode, Invocation } from './command.js';
import type { Connection } from './connection.js';
import {
  readFolder, readRevision, syncFiles, writeFolder, writeRevision,
} from './folder.js';
import { reportPublication } from './publication.js';
import { withDaemon } from './session.js';
import { table } from './terminal.js';
import { WAIT_LIMIT_MS, waitUntilInForce } from './wait.js';

const WAIT_OPTION = {
  wait: { type: 'boolean', help: 'return once every live instance works by the revision' },
  'wait-limit': { type: 'string', help: 'seconds that --wait waits at most; 30 if left out' },
} as const;

const EDIT_OPTIONS = {
  ...DAEMON_OPTIONS,
  ...WAIT_OPTION,
  base: { type: 'string', help: 'the revision that the edit was made from' },
  'allow-empty': { type: 'boolean', help: 'allow a change that leaves no file' },
} as const;

function operatorName({ environment }: Invocation): string {
  return environment.SHALLOTSHUNT_OPERATOR ?? userInfo().username;
}

function baseRevision({ values }: Invocation): number | undefined {
  return typeof values.base === 'string' ? Number(values.base) : undefined;
}

function waitLimitMs({ values }: Invocation): number {
  const seconds = values['wait-limit'];
  return typeof seconds === 'string' ? Number(seconds) * MILLISECONDS_PER_SECOND : WAIT_LIMIT_MS;
}

/** Runs a command that edits the configuration, after checking `--base` and `--wait-limit`. */
function withEdit(
  invocation: Invocation,
  run: (connection: Connection, base: number | undefined) => Promise<ExitCode>,
): Promise<ExitCode> {
  const base = baseRevision(invocation);
  if (base !== undefined && !(Number.isSafeInteger(base) && base >= 0)) {
    invocation.terminal.error('--base takes the number of a revision');
    return Promise.resolve(2);
  }
  if (!(waitLimitMs(invocation) >= 0)) {
    invocation.terminal.error('--wait-limit takes seconds');
    return Promise.resolve(2);
  }
  return withDaemon(invocation, (connection) => run(connection, base));
}

/** Reports the change and, with `--wait`, waits until it is in force on every live instance. */
async function reportAndWait(
  invocation: Invocation,
  connection: Connection,
  publication: Publication,
): Promise<ExitCode> {
  const { terminal, values } = invocation;
  const code = reportPublication(terminal, publication);
  const accepted = publication.kind === 'accepted' || publication.kind === 'unchanged';
  if (!accepted || !values.wait) return code;
  const limitMs = waitLimitMs(invocation);
  const pending = await waitUntilInForce(connection, publication.revision, terminal, limitMs);
  pending.forEach(({ name, revision }) => {
    terminal.error(`${name} still works by revision ${revision}`);
  });
  return pending.length === 0 ? 0 : 4;
}

/**
 * Updates the folder on disk to the revision that applying it created, which may include changes by
 * other operators. If that revision is no longer the latest, the folder keeps its base revision, so
 * that the next apply doesn't undo those changes.
 */
async function updateFolder(
  connection: Connection,
  directory: string,
  { revision, taken }: { readonly revision: number; readonly taken: readonly string[] },
): Promise<void> {
  if (taken.length === 0) {
    await writeRevision(directory, revision);
    return;
  }
  const stored = await connection.configuration.pull.query();
  if (stored.revision === revision) await syncFiles(directory, stored.files, taken, revision);
}

function describeChange({ file, before, after }: FileChange): string {
  if (before === undefined) return `added    ${file}`;
  return after === undefined ? `removed  ${file}` : `changed  ${file}`;
}

const check: Command = {
  name: 'check',
  summary: 'Checks a folder of configuration files and prints every finding.',
  operands: 'DIR',
  arity: [1, 1],
  options: {
    explain: { type: 'string', help: 'tell which file the value of KEY comes from' },
  },
  run: async ({ positionals, values, terminal }) => {
    const checked = checkFolder(await readFolder(positionals[0]!));
    const key = values.explain;
    if (typeof key === 'string') {
      terminal.result(explain(checked, key), (origins) => origins.map((origin) => {
        const { place, value, fallback } = origin;
        const from = place ? `${place.file}:${place.line}:${place.column}` : 'default';
        const hidden = origin.hidden.map((earlier) => (
          `\n  hides ${earlier.value} from ${earlier.place.file}:${earlier.place.line}`)).join('');
        return `${origin.path} = ${value ?? fallback} (${from})${hidden}`;
      }).join('\n') || `no file sets ${key}`);
    }
    const { findings } = checked;
    if (terminal.json && key === undefined) terminal.line(JSON.stringify(findings, null, 2));
    else terminal.findings(findings);
    return hasErrors(checked.findings) ? 1 : 0;
  },
};

const apply: Command = {
  name: 'apply',
  summary: 'Makes a folder the configuration; what others changed meanwhile is merged into both.',
  operands: 'DIR',
  arity: [1, 1],
  options: EDIT_OPTIONS,
  run: (invocation) => withEdit(invocation, async (connection, givenBase) => {
    const { positionals, values, terminal } = invocation;
    const directory = positionals[0]!;
    const folder = await readFolder(directory);
    const base = givenBase ?? await readRevision(directory)
      ?? ((await connection.configuration.pull.query()).revision === 0 ? 0 : undefined);
    if (base === undefined) {
      terminal.error('not known which revision the folder was made from; pull first, or --base N');
      return 2;
    }
    const publication = await connection.configuration.applyFolder.mutate({
      folder, base, who: operatorName(invocation), allowEmpty: values['allow-empty'] === true,
    });
    if (publication.kind === 'accepted') await updateFolder(connection, directory, publication);
    return reportAndWait(invocation, connection, publication);
  }),
};

const put: Command = {
  name: 'put',
  summary: 'Adds or replaces one file of the configuration.',
  operands: 'FILE',
  arity: [1, 1],
  options: EDIT_OPTIONS,
  run: (invocation) => withEdit(invocation, async (connection, base) => {
    const path = invocation.positionals[0]!;
    const publication = await connection.configuration.put.mutate({
      file: basename(path),
      text: await readFile(path, 'utf8'),
      who: operatorName(invocation),
      base,
    });
    return reportAndWait(invocation, connection, publication);
  }),
};

const remove: Command = {
  name: 'remove',
  summary: 'Removes one file of the configuration, which uncovers what it hid.',
  operands: 'NAME',
  arity: [1, 1],
  options: EDIT_OPTIONS,
  run: (invocation) => withEdit(invocation, async (connection, base) => {
    const publication = await connection.configuration.remove.mutate({
      file: invocation.positionals[0]!,
      who: operatorName(invocation),
      base,
      allowEmpty: invocation.values['allow-empty'] === true,
    });
    return reportAndWait(invocation, connection, publication);
  }),
};

const pull: Command = {
  name: 'pull',
  summary: 'Writes the stored configuration files into a folder.',
  operands: 'DIR',
  arity: [1, 1],
  options: DAEMON_OPTIONS,
  run: (invocation) => withDaemon(invocation, async (connection) => {
    const { revision, files } = await connection.configuration.pull.query();
    await writeFolder(invocation.positionals[0]!, files, revision);
    invocation.terminal.result(
      { revision, files: Object.keys(files) },
      (pulled) => `pulled revision ${pulled.revision}: ${pulled.files.length} files`,
    );
    return 0;
  }),
};

const diff: Command = {
  name: 'diff',
  summary: 'Lists the files that applying a folder would change.',
  operands: 'DIR',
  arity: [1, 1],
  options: DAEMON_OPTIONS,
  run: (invocation) => withDaemon(invocation, async (connection) => {
    const folder = await readFolder(invocation.positionals[0]!);
    const changes = await connection.configuration.diff.query({ folder });
    invocation.terminal.result(changes, (list) => (
      list.map(describeChange).join('\n') || 'no change'));
    return 0;
  }),
};

const history: Command = {
  name: 'history',
  summary: 'Lists the latest changes of the configuration.',
  operands: '',
  arity: [0, 0],
  options: DAEMON_OPTIONS,
  run: (invocation) => withDaemon(invocation, async (connection) => {
    const entries = await connection.configuration.history.query();
    invocation.terminal.result(entries, (list) => table(
      ['REVISION', 'TIME', 'WHO', 'FILES'],
      list.map((entry) => [
        entry.revision, entry.at, entry.who, entry.changes.map(({ file }) => file).join(' '),
      ]),
    ));
    return 0;
  }),
};

const outcome: Command = {
  name: 'outcome',
  summary: 'Tells whether a change whose end was not known has been accepted.',
  operands: 'WRITE-ID',
  arity: [1, 1],
  options: DAEMON_OPTIONS,
  run: (invocation) => withDaemon(invocation, async (connection) => {
    const writeId = invocation.positionals[0]!;
    const entry = await connection.configuration.outcome.query({ writeId });
    invocation.terminal.result(entry ?? null, (found) => (
      found ? `accepted as revision ${found.revision}` : 'not in the history'));
    return entry ? 0 : 1;
  }),
};

export const CHANGE_COMMANDS: readonly Command[] = [
  check, apply, put, remove, pull, diff, history, outcome,
];
