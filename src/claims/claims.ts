/**
 * At-most-once claims on idempotency keys. A request with a key that must not run twice is claimed
 * before it is sent to a backend server. The instance that is granted the claim is its owner, and
 * only the owner may dispatch the request.
 */

/** Identifies a claim by a workspace and the idempotency key that it chose. */
export interface ClaimRequest {
  readonly workspace: string;
  readonly key: string;
  /** Digest of method, path and body; a retry of the key must have the same one. */
  readonly bodyHash: string;
  /** Identifier of the request at the claim's owner. */
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
 * `granted`: this instance may dispatch the request, once. `running`: `owner` was granted the claim
 * and has not reported the request's end. `done`: the owner reported the answer's HTTP `status`.
 * `reused_key`: the key was claimed for another body. `unavailable`: the claim could not be decided
 * in time; it was not granted and does not block a later retry of the key.
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
  /** Resolves within `CLAIM_DEADLINE_MS`; never rejects. */
  claim(request: ClaimRequest): Promise<ClaimOutcome>;

  /**
   * Records in the background that the request ended with the HTTP `status`, which is kept until
   * the claim expires. Best effort: without it a retry is told that the request is running.
   */
  complete(ref: ClaimReference, status: number): void;

  /** Releases the claim of a request that was not and will not be sent to a backend server. */
  release(ref: ClaimReference): void;
}

/** Upper bound on the duration of `claim`, also while the store is unavailable. */
export const CLAIM_DEADLINE_MS = 2_000;
