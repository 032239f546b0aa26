/** The commands that show a deployment's state, and `drain` and `undrain`. */
import type { InstanceDecisions, InstanceStatus } from '../admin/administration.js';
import { formatEvent } from '../common/log.js';
import { DAEMON_OPTIONS } from './command.js';
import type { Command, ExitCode, Invocation } from './command.js';
import type { Connection } from './connection.js';
import { reportPublication } from './publication.js';
import { withDaemon } from './session.js';
import { table } from './terminal.js';
import type { Row } from './terminal.js';

/** Merged after every other file, so that no other file can undo a drain. */
const DRAINED_FILE = 'zz-drained.toml';
const DRAINED_SERVER = /^\[servers\."(.+)"\]$/gm;
/** Number of attempts when other operators change the file at the same time. */
const DRAIN_ATTEMPTS = 5;

interface View<Value> {
  readonly name: string;
  readonly summary: string;
  readonly query: (connection: Connection) => Promise<readonly Value[]>;
  readonly header: readonly string[];
  readonly row: (value: Value) => Row;
}

function viewCommand<Value>({
  name, summary, query, header, row,
}: View<Value>): Command {
  return {
    name,
    summary,
    operands: '',
    arity: [0, 0],
    options: DAEMON_OPTIONS,
    run: (invocation) => withDaemon(invocation, async (connection) => {
      invocation.terminal.result(await query(connection), (values) => (
        table(header, values.map(row))));
      return 0;
    }),
  };
}

function drainedServers(text: string): readonly string[] {
  return [...text.matchAll(DRAINED_SERVER)].map(([, name]) => name!);
}

function drainedFileText(servers: readonly string[]): string {
  return [
    '# Written by `shallotshunt drain` and `shallotshunt undrain`.',
    ...[...servers].sort().map((name) => `\n[servers."${name}"]\ndrained = true`),
    '',
  ].join('\n');
}

/** Drains or undrains a backend server through a configuration file, which makes it permanent. */
async function setDrained(
  invocation: Invocation,
  connection: Connection,
  server: string,
  drained: boolean,
  attempts = DRAIN_ATTEMPTS,
): Promise<ExitCode> {
  const { revision, files } = await connection.configuration.pull.query();
  const others = drainedServers(files[DRAINED_FILE] ?? '').filter((name) => name !== server);
  const text = drainedFileText(drained ? [...others, server] : others);
  const publication = await connection.configuration.put.mutate({
    file: DRAINED_FILE, text, who: drained ? 'drain' : 'undrain', base: revision,
  });
  if (publication.kind === 'conflict' && attempts > 1) {
    return setDrained(invocation, connection, server, drained, attempts - 1);
  }
  return reportPublication(invocation.terminal, publication);
}

function drainCommand(name: 'drain' | 'undrain', drained: boolean): Command {
  return {
    name,
    summary: drained
      ? 'Takes a backend server, or the daemon that is called, out of use; open work finishes.'
      : 'Puts a backend server, or the daemon that is called, back into use.',
    operands: '[SERVER]',
    arity: [0, 1],
    options: DAEMON_OPTIONS,
    run: (invocation) => withDaemon(invocation, async (connection) => {
      const [server] = invocation.positionals;
      if (server !== undefined) return setDrained(invocation, connection, server, drained);
      const status = await connection[name].mutate();
      invocation.terminal.result(status, (value) => (
        `${value.name}: ready ${value.ready}, open answers ${value.openAnswers}`));
      return 0;
    }),
  };
}

function decisionsText({ instance, decisions }: InstanceDecisions): string {
  const from = decisions[0]?.atMs ?? 0;
  return [
    `${instance}:`,
    ...decisions.map(({ atMs, event, fields }) => (
      `  ${Math.round(atMs - from)} ms  ${formatEvent(event, fields)}`)),
  ].join('\n');
}

const why: Command = {
  name: 'why',
  summary: 'Prints the decisions behind one request, by the instances that served it.',
  operands: 'REQUEST',
  arity: [1, 1],
  options: DAEMON_OPTIONS,
  run: (invocation) => withDaemon(invocation, async (connection) => {
    const found = await connection.why.query({ request: invocation.positionals[0]! });
    invocation.terminal.result(found, (instances) => (
      instances.map(decisionsText).join('\n') || 'no instance that answers knows the request'));
    return found.length > 0 ? 0 : 1;
  }),
};

const instances: Command = viewCommand({
  name: 'instances',
  summary: 'Shows the instances and the revision in force on each.',
  query: (connection) => connection.instances.query(),
  header: ['INSTANCE', 'ZONE', 'STATE', 'REVISION', 'ADDRESS'],
  row: (member) => [
    member.name, member.zone, member.drained ? 'drained' : member.state, member.revision,
    member.peerAddress,
  ],
});

function statusText(status: InstanceStatus): string {
  const { rejectedRevision } = status;
  return [
    `instance        ${status.name} in ${status.zone}`,
    `ready           ${status.ready ? 'yes' : 'no'}${status.draining ? ', stopping' : ''}`,
    `revision        ${status.revision}`,
    ...(rejectedRevision === undefined ? [] : [`rejected        revision ${rejectedRevision}`]),
    `open answers    ${status.openAnswers}`,
    `store silent    ${status.storeSilentMs} ms`,
  ].join('\n');
}

const status: Command = {
  name: 'status',
  summary: 'Shows the daemon that is called.',
  operands: '',
  arity: [0, 0],
  options: DAEMON_OPTIONS,
  run: (invocation) => withDaemon(invocation, async (connection) => {
    invocation.terminal.result(await connection.status.query(), statusText);
    return 0;
  }),
};

/** Lists the instances whose revision in force isn't the stored one. */
const revisions: Command = {
  name: 'revisions',
  summary: 'Shows the stored revision and the instances that work by another; exit code 1 if any.',
  operands: '',
  arity: [0, 0],
  options: DAEMON_OPTIONS,
  run: (invocation) => withDaemon(invocation, async (connection) => {
    const { revision } = await connection.configuration.pull.query();
    const members = await connection.instances.query();
    const differing = members.filter((member) => member.revision !== revision)
      .map(({ name, revision: inForce }) => ({ name, revision: inForce }));
    invocation.terminal.result({ stored: revision, differing }, () => [
      `stored revision ${revision}, in force on ${members.length - differing.length} of`
        + ` ${members.length} instances`,
      ...differing.map(({ name, revision: inForce }) => `${name}: revision ${inForce}`),
    ].join('\n'));
    return differing.length === 0 ? 0 : 1;
  }),
};

const engines: Command = viewCommand({
  name: 'engines',
  summary: 'Shows the engines as the daemon that is called sees them.',
  query: (connection) => connection.engines.query(),
  header: ['ENGINE', 'ZONE', 'POOL', 'HEALTH', 'ROLE', 'RUNNING', 'WAITING', 'MINE', 'MODELS'],
  row: (engine) => [
    engine.name, engine.zone, engine.pool, engine.health,
    engine.drained ? 'drained' : engine.role,
    `${engine.running}/${engine.slots}`, engine.waiting, engine.inFlight,
    [...engine.models, ...engine.loading.map((name) => `${name} (loading)`)].join(' '),
  ],
});

const lease: Command = viewCommand({
  name: 'lease',
  summary: 'Shows who holds the placement lease, and the fencing number.',
  query: async (connection) => [await connection.lease.query()],
  header: ['HOLDER', 'HELD HERE', 'FENCE'],
  row: (value) => [value.holder ?? '-', String(value.heldHere), value.fence],
});

const queues: Command = viewCommand({
  name: 'queues',
  summary: 'Shows what waits at the daemon that is called.',
  query: (connection) => connection.queues.query(),
  header: ['CLASS', 'WORKSPACE', 'WAITING'],
  row: (queue) => [queue.priority, queue.workspace, queue.waiting],
});

const workspaces: Command = viewCommand({
  name: 'workspaces',
  summary: 'Shows the workspaces and this daemon\'s share of their limits.',
  query: (connection) => connection.workspaces.query(),
  header: ['WORKSPACE', 'RUNNING', 'CONCURRENCY', 'REQUESTS/S'],
  row: (workspace) => [
    workspace.name, workspace.running, workspace.concurrencyShare,
    workspace.requestsPerSecondShare,
  ],
});

export const VIEW_COMMANDS: readonly Command[] = [
  status, instances, revisions, engines, lease, queues, workspaces, why,
  drainCommand('drain', true), drainCommand('undrain', false),
];
