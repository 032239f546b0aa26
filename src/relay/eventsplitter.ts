/**
 * Splits a stream of server-sent events into complete events without changing their bytes. What
 * stands between them, blank lines and comments by which servers keep a connection open, is only
 * counted. Text is decoded as Latin-1, in which every byte is one character.
 */

export interface ServerSentEvent {
  /** The event, including the blank line that ends it. */
  readonly text: string;
  /** Undefined if it has none. */
  readonly id: number | undefined;
  /** Whether it has one id at most, and only such lines as events consist of. */
  readonly isWellFormed: boolean;
}

/** An event of some thousand tokens. */
const MAX_EVENT_LENGTH = 65_536;
const EVENT_END = /\r?\n\r?\n/g;
/** Whole comments, and blank lines in pairs: a single one belongs to the event that follows. */
const COMMENTS = /(?:\r?\n\r?\n|(?:\r?\n)?(?::[^\n]*\n)+\r?\n)+/y;
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

/** Where the event ends that begins at `from`; 0 if it is not complete. */
function endOfEvent(text: string, from: number): number {
  EVENT_END.lastIndex = from;
  return EVENT_END.test(text) ? EVENT_END.lastIndex : 0;
}

export class EventSplitter {
  #pending = '';

  #commentLength = 0;

  static of(): EventSplitter {
    return new EventSplitter();
  }

  /** Whether an event is too long, after which nothing more is split. */
  get isOverlong(): boolean {
    return this.#pending.length > MAX_EVENT_LENGTH;
  }

  /** Length of all comments and blank lines so far. */
  get commentLength(): number {
    return this.#commentLength;
  }

  /** Whether an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.#pending !== '';
  }

  /** Adds bytes and returns the events that they complete. */
  push(bytes: Buffer): readonly ServerSentEvent[] {
    const text = this.#pending + bytes.toString('latin1');
    const events: ServerSentEvent[] = [];
    let from = this.#skipComments(text, 0);
    for (let end = endOfEvent(text, from); end > 0; end = endOfEvent(text, from)) {
      const event = text.slice(from, end);
      const id = EVENT_ID.exec(event)?.[1];
      events.push({
        text: event,
        id: id === undefined ? undefined : Number(id),
        isWellFormed: isWellFormed(event),
      });
      from = this.#skipComments(text, end);
    }
    this.#pending = text.slice(from);
    return events;
  }

  #skipComments(text: string, from: number): number {
    COMMENTS.lastIndex = from;
    const length = COMMENTS.exec(text)?.[0].length ?? 0;
    this.#commentLength += length;
    return from + length;
  }
}
