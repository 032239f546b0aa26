/** What this instance tells at one moment, encoded at most once for all peers that get the same. */
import type { MessageChanges } from './messagechanges.js';
import { encodeCompact, encodeMessage, MAX_MESSAGE_BYTES } from './peermessage.js';
import type { PeerMessage } from './messageschema.js';

export class Outgoing {
  readonly message: PeerMessage;

  /** Version of what the message tells. */
  readonly version: number;

  readonly #process: number;

  readonly #since: MessageChanges;

  readonly #changes = new Map<number, Buffer | undefined>();

  #whole: Buffer | undefined;

  readonly #compact = new Map<number, Buffer>();

  private constructor(message: PeerMessage, process: number, changes: MessageChanges) {
    this.#process = process;
    this.#since = changes;
    this.version = changes.version;
    this.message = { ...message, state: [process, this.version, 0] };
  }

  static of(message: PeerMessage, process: number, changes: MessageChanges): Outgoing {
    changes.observe(message);
    return new Outgoing(message, process, changes);
  }

  /** The same with other fields. */
  with(fields: Partial<PeerMessage>): Outgoing {
    return new Outgoing({ ...this.message, ...fields }, this.#process, this.#since);
  }

  /** Limited servers that this instance uses. */
  get inUse(): readonly string[] {
    return this.message.limits.flatMap(([id, , , , isUsed]) => (isUsed ? [id] : []));
  }

  /** Services of which it reaches no server, as one text. */
  get unreached(): string {
    return this.message.unreached.join('\n');
  }

  /** The full message in the form that every build reads. */
  get whole(): Buffer {
    this.#whole ??= encodeMessage(this.message);
    return this.#whole;
  }

  /** The full message for current builds, with the origins of streams since a version. */
  compact(since = 0): Buffer {
    const known = this.#compact.get(since);
    if (known) return known;
    const origins = this.#since.since(since)?.origins ?? this.message.origins;
    const bytes = encodeCompact({ ...this.message, origins });
    this.#compact.set(since, bytes);
    return bytes;
  }

  /** A partial message: all changes since a version; undefined if it has to be a full one. */
  changes(since: number): Buffer | undefined {
    if (!this.#changes.has(since)) this.#changes.set(since, this.#encode(since));
    return this.#changes.get(since);
  }

  #encode(since: number): Buffer | undefined {
    const changes = this.#since.since(since);
    if (!changes) return undefined;
    const { ip, protocol } = this.message;
    const told = Object.entries(changes).filter(([, value]) => Object.keys(value).length > 0);
    const bytes = Buffer.from(JSON.stringify({
      ip, protocol, ...Object.fromEntries(told), state: [this.#process, this.version, since],
    }));
    return bytes.length > MAX_MESSAGE_BYTES ? undefined : bytes;
  }
}
