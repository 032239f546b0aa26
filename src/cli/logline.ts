/** Parses the log lines that `common/log` writes. */

export interface LogLine {
  /** Milliseconds since 1970, by the clock of the instance that wrote the line. */
  readonly atMs: number;
  readonly level: string;
  readonly event: string;
  /** Empty if the line names no instance. */
  readonly instance: string;
  readonly fields: Readonly<Record<string, string>>;
}

/** Start of the line proper; log collectors may prepend text of their own. */
const LINE_START = /(?:^|\s)time=\S+ level=\S+ event=\S/;
const PAIR = /([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|[^\s"=]+)(?: |$)/y;

function unquote(value: string): string | undefined {
  if (!value.startsWith('"')) return value;
  try {
    return String(JSON.parse(value));
  } catch {
    return undefined;
  }
}

/** Parses `key=value` pairs; undefined if the text contains anything else. */
function readPairs(text: string): Record<string, string> | undefined {
  const fields: Record<string, string> = {};
  PAIR.lastIndex = 0;
  while (PAIR.lastIndex < text.length) {
    const [, key, quoted] = PAIR.exec(text) ?? [];
    const value = quoted === undefined ? undefined : unquote(quoted);
    if (key === undefined || value === undefined) return undefined;
    fields[key] = value;
  }
  return fields;
}

/** Parses a line; undefined if it is truncated or in another format. */
export function readLogLine(text: string): LogLine | undefined {
  const start = LINE_START.exec(text);
  const fields = start && readPairs(text.slice(start.index).trim());
  if (!fields) return undefined;
  const {
    time = '', level = '', event = '', instance = '', ...rest
  } = fields;
  const atMs = Date.parse(time);
  return Number.isNaN(atMs) ? undefined : {
    atMs, level, event, instance, fields: rest,
  };
}
