/**
 * Splits a stream of server-sent events into complete events without changing their bytes. Text is
 * decoded as Latin-1, in which every byte is one character.
 */

export interface ServerSentEvent {
  /** The event, including the blank line that ends it. */
  readonly text: string;
  /** Undefined if it has none, which only comments may lack. */
  readonly id: number | undefined;
  /** Whether it is only a comment, as servers send to keep a connection open. */
  readonly isComment: boolean;
  /** Whether it has one id at most, and only such lines as events consist of. */
  readonly isWellFormed: boolean;
}

/** An event of some thousand tokens. */
const MAX_EVENT_LENGTH = 65_536;
const EVENT_END = /\r?\n\r?\n/g;
const COMMENT = /^(?::[^\n]*\n|\r?\n)*$/;
const EVENT_ID = /^id: ?(\d{1,15})\r?$/m;
const ID_LINE = /^id(?::|\r?$)/gm;
/**
 * Lines of the four fields and comments, after a first line in which servers may have a field of
 * their own. A head that a server sends into an event that it has not ended has other lines.
 */
const WELL_FORMED = new RegExp([
  '^(?:\\r?\\n)?(?:[a-z][a-z\\d-]*:[^\\n]*\\n)?',
  '(?:(?:(?:id|data|event|retry)?:[^\\n]*|(?:id|data|event|retry)?\\r?)\\n)*$',
].join(''));

function isWellFormed(event: string): boolean {
  return WELL_FORMED.test(event) && (event.match(ID_LINE)?.length ?? 0) <= 1;
}

export class EventSplitter {
  #pending = '';

  static of(): EventSplitter {
    return new EventSplitter();
  }

  /** Whether an event is too long, after which nothing more is split. */
  get isOverlong(): boolean {
    return this.#pending.length > MAX_EVENT_LENGTH;
  }

  /** Whether an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.#pending !== '';
  }

  /** Adds bytes and returns the events that they complete. */
  push(bytes: Buffer): readonly ServerSentEvent[] {
    const text = this.#pending + bytes.toString('latin1');
    const events: ServerSentEvent[] = [];
    let from = 0;
    EVENT_END.lastIndex = 0;
    for (let end = EVENT_END.exec(text); end; end = EVENT_END.exec(text)) {
      const event = text.slice(from, EVENT_END.lastIndex);
      const id = EVENT_ID.exec(event)?.[1];
      events.push({
        text: event,
        id: id === undefined ? undefined : Number(id),
        isComment: id === undefined && COMMENT.test(event),
        isWellFormed: isWellFormed(event),
      });
      from = EVENT_END.lastIndex;
    }
    this.#pending = text.slice(from);
    return events;
  }
}
