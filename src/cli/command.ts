/** Defines the tool's commands and parses their arguments. */
import { parseArgs } from 'node:util';
import type { Readable } from 'node:stream';
import type { ParseArgsConfig } from 'node:util';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Terminal } from './terminal.js';

/**
 * 0: done. 1: refused, with findings or a reason. 2: invalid command line. 3: conflict with another
 * operator's change. 4: no daemon was reachable, or it didn't answer in time.
 */
export type ExitCode = 0 | 1 | 2 | 3 | 4;

export interface Option {
  readonly type: 'string' | 'boolean';
  readonly short?: string;
  /** Whether the option may be repeated; its values are then in `lists`. */
  readonly multiple?: boolean;
  readonly help: string;
}

export type Options = Readonly<Record<string, Option>>;

export interface Invocation {
  readonly positionals: readonly string[];
  readonly values: Readonly<Record<string, string | boolean | undefined>>;
  /** Values of the options that may be repeated. */
  readonly lists: Readonly<Record<string, readonly string[] | undefined>>;
  readonly terminal: Terminal;
  /** Environment variables. */
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Standard input. */
  readonly input: Readable;
}

export interface Command {
  readonly name: string;
  readonly summary: string;
  /** Operands as the usage line shows them, such as `DIR`. */
  readonly operands: string;
  /** Minimum and maximum number of operands. */
  readonly arity: readonly [number, number];
  readonly options: Options;
  run(invocation: Invocation): Promise<ExitCode>;
}

/** Options that every command has. */
const COMMON_OPTIONS: Options = {
  json: { type: 'boolean', help: 'print JSON for scripts' },
  help: { type: 'boolean', short: 'h', help: 'print this help' },
};

/** Options of the commands that talk to a daemon. */
export const DAEMON_OPTIONS: Options = {
  daemon: {
    type: 'string',
    short: 'd',
    help: 'administration address host:port of any daemon (SHALLOTSHUNT_DAEMON)',
  },
  key: { type: 'string', help: 'administrator key (better: SHALLOTSHUNT_KEY)' },
};

function optionHelp([name, option]: [string, Option]): string {
  const short = option.short ? `-${option.short}, ` : '    ';
  const value = option.type === 'string' ? ' VALUE' : '';
  return `  ${`${short}--${name}${value}`.padEnd(26)} ${option.help}`;
}

export function commandHelp(command: Command): string {
  const options = { ...command.options, ...COMMON_OPTIONS };
  return [
    `usage: shallotshunt ${command.name} ${command.operands}`.trimEnd(),
    '',
    command.summary,
    '',
    'options:',
    ...Object.entries(options).map(optionHelp),
  ].join('\n');
}

/** Parses a command's arguments; the error is a message for the operator. */
export function readArguments(
  command: Command,
  args: readonly string[],
): Result<Pick<Invocation, 'positionals' | 'values' | 'lists'>, string> {
  const options: ParseArgsConfig['options'] = Object.fromEntries(
    Object.entries({ ...command.options, ...COMMON_OPTIONS })
      .map(([name, { type, short, multiple = false }]) => (
        [name, short ? { type, short, multiple } : { type, multiple }])),
  );
  try {
    const { values, positionals } = parseArgs({ args: [...args], options, allowPositionals: true });
    const [fewest, most] = command.arity;
    if (!values.help && (positionals.length < fewest || positionals.length > most)) {
      return err(`${command.name} takes ${command.operands || 'no operands'}`);
    }
    const given = Object.entries(values);
    return ok({
      positionals,
      values: Object.fromEntries(given.filter(([, value]) => !Array.isArray(value))),
      lists: Object.fromEntries(given.filter(([, value]) => Array.isArray(value))),
    } as Pick<Invocation, 'positionals' | 'values' | 'lists'>);
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
}
