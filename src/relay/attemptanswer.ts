/** What a backend server's answer to one attempt means, from its head. */
import type { Dialect, RawHeaders, ServerAnswer } from './dialect.js';

/**
 * `whole`: the server's own answer. `failed`: a failure of the server, which may have run the
 * request. `not_run`: the server says that it has not. `foreign`: not an answer to this request.
 */
export type AnswerMeaning =
  | { readonly kind: 'answer' }
  | { readonly kind: 'failed'; readonly message: string }
  | { readonly kind: 'not_run'; readonly message: string; readonly elsewhere: boolean }
  | { readonly kind: 'foreign'; readonly message: string };

const SERVER_ERRORS = 500;
const MISDIRECTED = 421;

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** @param id the request that the answer has to be for */
export function meaningOf(
  status: number,
  headers: RawHeaders,
  id: string,
  dialect: Dialect,
): AnswerMeaning & { readonly answer: ServerAnswer } {
  const answer = dialect.readAnswer(status, headers);
  if (answer.notRun) {
    return {
      kind: 'not_run',
      message: `the server refused with ${status}`,
      elsewhere: status === MISDIRECTED,
      answer,
    };
  }
  if (answer.id !== undefined && answer.id !== id) {
    return { kind: 'foreign', message: 'the answer belongs to another request', answer };
  }
  if (isSuccess(status) && (answer.signature === undefined || answer.id === undefined)) {
    return { kind: 'foreign', message: 'the answer is not signed', answer };
  }
  if (status >= SERVER_ERRORS) {
    return { kind: 'failed', message: `the server failed with ${status}`, answer };
  }
  return answer.signature === undefined
    ? { kind: 'foreign', message: `unsigned status ${status}`, answer }
    : { kind: 'answer', answer };
}
