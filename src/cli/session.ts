/** Runs a command's calls to a daemon, and turns failed calls into messages and exit codes. */
import { TRPCClientError } from '@trpc/client';
import { connect } from './connection.js';
import type { Connection } from './connection.js';
import type { ExitCode, Invocation } from './command.js';

const UNAUTHORIZED = 401;
const UNAVAILABLE = 503;
const MIN_SERVER_ERROR_STATUS = 500;

interface Failure { readonly code: ExitCode; readonly text: string }

/** The HTTP status of the daemon's answer; undefined if there was no answer. */
function statusOf({ meta, data }: TRPCClientError<never>): number | undefined {
  const httpStatus = (data as { httpStatus?: number } | undefined)?.httpStatus;
  return httpStatus ?? (meta?.response as { status?: number } | undefined)?.status;
}

function failureOf(error: TRPCClientError<never>): Failure {
  const status = statusOf(error);
  if (status === UNAUTHORIZED) return { code: 1, text: 'refused: the daemon has no such key' };
  if (status === UNAVAILABLE) return { code: 4, text: `not done: ${error.message}` };
  if (status !== undefined && status < MIN_SERVER_ERROR_STATUS) {
    return { code: 1, text: `refused: ${error.message}` };
  }
  const { code } = (error.cause ?? {}) as NodeJS.ErrnoException;
  if (code === 'ECONNREFUSED') return { code: 4, text: 'not done: no daemon listens there' };
  // Repeating a command is safe: a change that is already in force isn't made twice.
  const text = `no answer (${error.message}); a change may have been accepted; run the same command`
    + ' again to find out';
  return { code: 4, text };
}

export async function withDaemon(
  invocation: Invocation,
  run: (connection: Connection) => Promise<ExitCode>,
): Promise<ExitCode> {
  const connected = connect(invocation);
  if (connected.isErr()) {
    invocation.terminal.error(connected.error);
    return 2;
  }
  try {
    return await run(connected.value);
  } catch (error) {
    if (!(error instanceof TRPCClientError)) throw error;
    const { code, text } = failureOf(error);
    invocation.terminal.error(text);
    return code;
  }
}
