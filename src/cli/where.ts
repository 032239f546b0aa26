/** The command that asks an instance where a request would go now, and why, without sending it. */
import { WHERE_ANSWER } from '../relay/where.js';
import type { WhereAnswer } from '../relay/where.js';
import type { Command } from './command.js';
import { table } from './terminal.js';

const TIMEOUT_MS = 5_000;
const NOT_FOUND = 404;
const BAD_REQUEST = 400;
const UNREACHED = 4;

const HEADER = [
  'SERVER', 'ZONE', 'RUNNING', 'TAKES WELL', 'PACE', 'PREFILL', 'MEMORY', 'EXPECTED', 'NOT USED',
];

function factorText(factor: number): string {
  return factor === 1 ? 'mean' : `x${factor.toFixed(2)}`;
}

/** Why a server doesn't get the request; empty if it may. */
function obstacle({ unusable, hasCapacity, delayMs }: WhereAnswer['servers'][number]): string {
  if (unusable !== undefined) return unusable;
  if (delayMs !== 0) return 'at its rate limit';
  return hasCapacity === false ? 'no room' : '';
}

function answerText({
  route, service, workspace, server, standby, reason, inputs, servers, configuration,
}: WhereAnswer): string {
  const inputsText = Object.entries(inputs).map(([name, value]) => `${name}=${String(value)}`);
  const standbyText = standby ? `, standby copy at ${standby}` : '';
  return [
    `route ${route}, service ${service}, workspace ${workspace ?? '-'}`,
    `configuration ${configuration}`,
    server ? `would go to ${server}${standbyText}` : `would be refused: ${reason ?? ''}`,
    `because: ${inputsText.join(' ')}`,
    table(
      HEADER,
      servers.map((each) => [
        each.server,
        each.zone,
        `${each.running}/${each.slots}`,
        each.limit,
        factorText(each.factor),
        each.prefillTokens,
        each.memoryTokens,
        `${each.expectedFirstMs ?? each.meanMs ?? '-'} ms`,
        obstacle(each),
      ]),
    ),
  ].join('\n');
}

const where: Command = {
  name: 'where',
  summary: 'Tells where an instance would send a request now, and why; nothing is sent.',
  operands: 'ROUTE',
  arity: [1, 1],
  options: {
    instance: {
      type: 'string',
      short: 'i',
      help: 'address host:port of the instance\'s metrics (SHALLOTSHUNT_INSTANCE)',
    },
    workspace: { type: 'string', short: 'w', help: 'workspace that the request\'s key belongs to' },
    prompt: { type: 'string', help: 'prompt tokens (0)' },
    output: { type: 'string', help: 'limit on generated tokens (0)' },
  },
  run: async ({
    positionals: [route = ''], values, terminal, environment,
  }) => {
    const address = values.instance ?? environment.SHALLOTSHUNT_INSTANCE;
    if (typeof address !== 'string') {
      terminal.error('name an instance by --instance or SHALLOTSHUNT_INSTANCE');
      return 2;
    }
    const given = Object.entries({
      route, workspace: values.workspace, prompt: values.prompt, output: values.output,
    }).filter((entry): entry is [string, string] => typeof entry[1] === 'string');
    const url = `http://${address}/where?${new URLSearchParams(given).toString()}`;
    const response = await fetch(url, { signal: AbortSignal.timeout(TIMEOUT_MS) })
      .then(async (res) => ({ status: res.status, body: await res.text() }))
      .catch((error: unknown) => ({ status: 0, body: String(error) }));
    if (response.status === 0) {
      terminal.error(`the instance at ${address} was not reached: ${response.body}`);
      return UNREACHED;
    }
    if (response.status === BAD_REQUEST || response.status === NOT_FOUND) {
      terminal.error(response.body);
      return 1;
    }
    const answer = WHERE_ANSWER.parse(JSON.parse(response.body));
    terminal.result(answer, answerText);
    return answer.server === undefined ? 1 : 0;
  },
};

export const WHERE_COMMANDS: readonly Command[] = [where];
