/**
 * At-most-once claims: a request that must not run twice and carries an idempotency key is
 * claimed here before it is given to a backend server. Whoever is granted the claim is its owner
 * and alone may dispatch the request.
 */

/** Names one claim: a workspace and the idempotency key that it chose. */
export interface ClaimRequest {
  readonly workspace: string;
  readonly key: string;
  /** Digest of what makes the request the same: method, path and body. */
  readonly bodyHash: string;
  /** The request's own identifier, by which its owner knows it. */
  readonly request: string;
}

/** A granted claim, with the nonce that its owner wrote. */
export interface ClaimReference {
  readonly workspace: string;
  readonly key: string;
  readonly request: string;
  readonly nonce: string;
}

/**
 * `granted`: this request may be dispatched, by this instance, once. `running`: `owner` was granted
 * the claim and has not reported an end. `done`: the owner reported the answer's HTTP `status`.
 * `reused_key`: the key was claimed with another body. `unavailable`: the claim could not be
 * settled in time; it was not granted and a later retry of the key is not locked out by it.
 */
export type ClaimOutcome = { readonly kind: 'granted'; readonly ref: ClaimReference } | NotGranted;

/** Why a claim was not granted. */
export type NotGranted =
  | { readonly kind: 'running'; readonly owner: string; readonly request: string }
  | {
    readonly kind: 'done';
    readonly owner: string;
    readonly request: string;
    readonly status: number;
  }
  | { readonly kind: 'reused_key' }
  | { readonly kind: 'unavailable'; readonly message: string };

export interface Claims {
  /** Settles within `CLAIM_DEADLINE_MS`; never rejects. */
  claim(request: ClaimRequest): Promise<ClaimOutcome>;

  /**
   * Records that the request ended with the HTTP `status`; kept until the claim expires. Written
   * in the background, and best effort: without it a retry is told that the request is running.
   */
  complete(ref: ClaimReference, status: number): void;

  /** Gives the claim back. Only for a request that no backend server was or will be given. */
  release(ref: ClaimReference): void;
}

/** The longest time that `claim` takes, outages of the store included. */
export const CLAIM_DEADLINE_MS = 2_000;
