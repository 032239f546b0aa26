/**
 * Splits a stream of server-sent events into whole events whose bytes stay as they came. Text is
 * read as Latin-1, in which every byte is one character.
 */

export interface RelayedEvent {
  /** The event with the blank line that ends it. */
  readonly text: string;
  readonly id: number | undefined;
}

const END = /\r?\n\r?\n/g;
const ID = /^id: ?(\d{1,15})\r?$/m;

export class EventSplitter {
  #rest = '';

  static of(): EventSplitter {
    return new EventSplitter();
  }

  /** Whether bytes of an event that hasn't ended are held. */
  get torn(): boolean {
    return this.#rest !== '';
  }

  /** The events that `bytes` completes. */
  take(bytes: Buffer): readonly RelayedEvent[] {
    const text = this.#rest + bytes.toString('latin1');
    const events: RelayedEvent[] = [];
    let from = 0;
    END.lastIndex = 0;
    for (let end = END.exec(text); end; end = END.exec(text)) {
      const event = text.slice(from, END.lastIndex);
      const id = ID.exec(event)?.[1];
      events.push({ text: event, id: id === undefined ? undefined : Number(id) });
      from = END.lastIndex;
    }
    this.#rest = text.slice(from);
    return events;
  }
}
