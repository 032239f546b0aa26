/**
 * Checks the head of a server's response before anything is decided by it. Node.js reads heads that
 * it refuses to write, and gives the first or the joined values of a field that stands there twice.
 * Where a head says two things, or can't be passed on, it is not known whose response it is.
 */
import { validateHeaderName, validateHeaderValue } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { Result } from 'neverthrow';

/** Fields that tell where a response ends, what it holds, and what becomes of its connection. */
const FRAMING_FIELDS: readonly string[] = [
  'content-length', 'transfer-encoding', 'content-type', 'content-encoding', 'keep-alive',
  'retry-after',
];

/** Statuses of final responses; Node.js reads any three digits, also what it refuses to write. */
const MIN_STATUS = 200;
const MAX_STATUS = 599;

export type ReceivedHead =
  Pick<IncomingMessage, 'statusCode' | 'statusMessage' | 'rawHeaders'>;

/** Throws what Node.js throws when such a field is written. */
function validateField(name: string, value: string): void {
  validateHeaderName(name);
  validateHeaderValue(name, value);
}

const checkField = Result.fromThrowable(validateField, (error) => (
  error instanceof Error ? error.message : String(error)));

/**
 * Why a head can't be relied on; undefined if it can.
 *
 * @param singleFields names, in lowercase, of further fields that may have one value only
 */
export function headFault(
  { statusCode = 0, statusMessage = '', rawHeaders }: ReceivedHead,
  singleFields: ReadonlySet<string>,
): string | undefined {
  if (statusCode < MIN_STATUS || statusCode > MAX_STATUS) {
    return `status ${statusCode} is not that of a final response`;
  }
  const values = new Map<string, string>();
  const faultOf = (name: string, value: string): string | undefined => {
    const checked = checkField(name, value);
    if (checked.isErr()) return `a header can't be passed on: ${checked.error}`;
    const field = name.toLowerCase();
    if (!singleFields.has(field) && !FRAMING_FIELDS.includes(field)) return undefined;
    const other = values.get(field);
    values.set(field, value);
    return other === undefined || other === value ? undefined : `two values of ${field}`;
  };
  const reason = checkField('reason', statusMessage);
  if (reason.isErr()) return 'the reason phrase can\'t be passed on';
  return rawHeaders.flatMap((name, index) => (
    index % 2 === 0 ? [faultOf(name, rawHeaders[index + 1] ?? '')] : []))
    .find((fault) => fault !== undefined);
}
