/** Runs the part of a command that needs a daemon, and tells what kept it from one. */
import { TRPCClientError } from '@trpc/client';
import type { ExitCode, Invocation } from './command.js';
import { connect } from './connection.js';
import type { Connection } from './connection.js';

export async function withDaemon(
  invocation: Invocation,
  run: (connection: Connection) => Promise<ExitCode>,
): Promise<ExitCode> {
  const connected = connect(invocation, process.env);
  if (connected.isErr()) {
    invocation.terminal.error(connected.error);
    return 2;
  }
  try {
    return await run(connected.value);
  } catch (error) {
    if (!(error instanceof TRPCClientError)) throw error;
    invocation.terminal.error(`the daemon did not do it: ${error.message}`);
    return 4;
  }
}
