/** The body of a response that is held until it is whole. Short ones are not accounted for. */
import type { Pieces } from '../common/pieces.js';
import type { Collection, Collections } from '../memory/collections.js';
import type { Call } from './call.js';

const FREE_BYTES = 65_536;
/** Limit on a response that is held, as long as those of most services' interfaces. */
export const MAX_RESPONSE_BYTES = 8_388_608;

export class CollectedBody {
  readonly #collections: Collections;

  readonly #isKnown: boolean;

  readonly #chunks: Buffer[] = [];

  #length = 0;

  #pieces: Pieces | undefined;

  #collection: Collection | undefined;

  private constructor(collections: Collections, isKnown: boolean) {
    this.#collections = collections;
    this.#isKnown = isKnown;
  }

  static ofCall(
    { workspace }: Pick<Call, 'workspace'>,
    { collections }: { readonly collections: Collections },
  ): CollectedBody {
    return new CollectedBody(collections, workspace !== undefined);
  }

  get chunks(): readonly Buffer[] {
    return this.#chunks;
  }

  /** What the body is read with, and can be held back by. */
  readWith(pieces: Pieces): void {
    this.#pieces = pieces;
  }

  add(bytes: Buffer): void {
    this.#chunks.push(bytes);
    this.#length += bytes.length;
    if (this.#length <= FREE_BYTES) return;
    this.#collection ??= this.#collections.begin(this.#isKnown, () => (
      this.#pieces?.setPaused(false)));
    if (!this.#collection.resize(this.#length)) this.#pieces?.setPaused(true);
  }

  /** It is passed on, or not needed any more. */
  release(): void {
    this.#collection?.end();
  }
}
