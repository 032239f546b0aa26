/** The command-line tool `shallotshunt` as a function of its arguments, streams and environment. */
import type { Readable } from 'node:stream';
import { CHANGE_COMMANDS } from './changes.js';
import { commandHelp, readArguments } from './command.js';
import type { Command, ExitCode } from './command.js';
import { LOG_COMMANDS } from './explain.js';
import { Terminal } from './terminal.js';
import type { Output } from './terminal.js';
import { VIEW_COMMANDS } from './views.js';
import { WHERE_COMMANDS } from './where.js';

const COMMANDS: readonly Command[] = [
  ...CHANGE_COMMANDS, ...VIEW_COMMANDS, ...LOG_COMMANDS, ...WHERE_COMMANDS,
];
const NAME_WIDTH = 12;

function usage(): string {
  return [
    'usage: shallotshunt COMMAND [OPTION]... [OPERAND]',
    '',
    ...COMMANDS.map(({ name, summary }) => `  ${name.padEnd(NAME_WIDTH)}${summary}`),
    '',
    'shallotshunt COMMAND --help tells more. Exit codes: 0 done, 1 refused with findings or a',
    'reason, 2 wrong command line, 3 conflict with another operator, 4 no daemon or not in time.',
  ].join('\n');
}

/** The tool's output streams, environment variables and standard input. */
export interface ToolContext {
  readonly out: Output;
  readonly errors: Output;
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly input: Readable;
}

export async function runTool(
  args: readonly string[],
  {
    out, errors, environment, input,
  }: ToolContext,
): Promise<ExitCode> {
  const terminal = Terminal.of(out, errors, args.includes('--json'));
  const [name, ...rest] = args;
  const command = COMMANDS.find((known) => known.name === name);
  if (!command) {
    const helpRequested = name === undefined
      || name === '--help' || name === '-h' || name === 'help';
    if (helpRequested) terminal.line(usage());
    else terminal.error(`there is no command ${name}; shallotshunt --help lists them`);
    return helpRequested ? 0 : 2;
  }
  const read = readArguments(command, rest);
  if (read.isErr()) {
    terminal.error(read.error);
    terminal.error(commandHelp(command));
    return 2;
  }
  if (read.value.values.help) {
    terminal.line(commandHelp(command));
    return 0;
  }
  try {
    return await command.run({
      ...read.value, terminal, environment, input,
    });
  } catch (error) {
    terminal.error(error instanceof Error ? error.message : String(error));
    return 1;
  }
}
