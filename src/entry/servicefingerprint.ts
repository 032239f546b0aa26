/** Identifies a call to a plain service that is sent again: its caller, target and body. */
import { createHash } from 'node:crypto';
import type { Hash } from 'node:crypto';
import type { Fingerprint } from '../limits/crashevidence.js';
import { requestFingerprint } from '../limits/crashingrequests.js';

export class ServiceFingerprint {
  readonly #identity: readonly unknown[];

  readonly #bodyHash: Hash = createHash('sha256');

  #known: Fingerprint | undefined;

  private constructor(identity: readonly unknown[]) {
    this.#identity = identity;
  }

  /** @param body undefined while it has not been read */
  static of(identity: readonly unknown[], body: Buffer | undefined): ServiceFingerprint {
    const fingerprint = new ServiceFingerprint(identity);
    if (body !== undefined) {
      fingerprint.#bodyHash.update(body);
      fingerprint.#finish();
    }
    return fingerprint;
  }

  /** Undefined until the whole body has passed. */
  get value(): Fingerprint | undefined {
    return this.#known;
  }

  /** Follows the body as it is forwarded. */
  readonly body = {
    chunk: (bytes: Buffer): void => {
      this.#bodyHash.update(bytes);
    },
    end: (): void => this.#finish(),
  };

  #finish(): void {
    this.#known ??= requestFingerprint('service', ...this.#identity, this.#bodyHash.digest('hex'));
  }
}
