/**
 * Splits a stream of server-sent events into whole events whose bytes stay as they came. Text is
 * read as Latin-1, in which every byte is one character.
 */

export interface RelayedEvent {
  /** The event with the blank line that ends it. */
  readonly text: string;
  readonly id: number | undefined;
}

const EVENT_END = /\r?\n\r?\n/g;
const EVENT_ID = /^id: ?(\d{1,15})\r?$/m;

export class EventSplitter {
  #pending = '';

  static of(): EventSplitter {
    return new EventSplitter();
  }

  /** Whether bytes of an event that hasn't ended are held. */
  get hasPartialEvent(): boolean {
    return this.#pending !== '';
  }

  /** The events that `bytes` completes. */
  push(bytes: Buffer): readonly RelayedEvent[] {
    const text = this.#pending + bytes.toString('latin1');
    const events: RelayedEvent[] = [];
    let from = 0;
    EVENT_END.lastIndex = 0;
    for (let end = EVENT_END.exec(text); end; end = EVENT_END.exec(text)) {
      const event = text.slice(from, EVENT_END.lastIndex);
      const id = EVENT_ID.exec(event)?.[1];
      events.push({ text: event, id: id === undefined ? undefined : Number(id) });
      from = EVENT_END.lastIndex;
    }
    this.#pending = text.slice(from);
    return events;
  }
}
