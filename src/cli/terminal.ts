/**
 * Output of the command-line tool: text or, for scripts, JSON; coloured only on a terminal.
 */
import { styleText } from 'node:util';
import { formatFinding } from '../common/finding.js';
import type { Finding } from '../common/finding.js';

export type Colour = 'red' | 'green' | 'yellow' | 'dim';

export interface Output {
  write(text: string): unknown;
  readonly isTTY?: boolean | undefined;
}

export type Row = readonly (string | number)[];

const COLUMN_GAP = '  ';

export class Terminal {
  readonly json: boolean;

  readonly #out: Output;

  readonly #errors: Output;

  private constructor(out: Output, errors: Output, json: boolean) {
    this.#out = out;
    this.#errors = errors;
    this.json = json;
  }

  static of(out: Output, errors: Output, json: boolean): Terminal {
    return new Terminal(out, errors, json);
  }

  line(text: string): void {
    this.#out.write(`${text}\n`);
  }

  error(text: string): void {
    this.#errors.write(`${text}\n`);
  }

  /** Prints `value` as JSON with `--json`, otherwise the text that `text` returns for it. */
  result<Value>(value: Value, text: (value: Value) => string): void {
    this.line(this.json ? JSON.stringify(value, null, 2) : text(value));
  }

  findings(findings: readonly Finding[]): void {
    findings.forEach((finding) => {
      const colour = finding.severity === 'error' ? 'red' : 'yellow';
      this.error(`${this.style(colour, finding.severity)}: ${formatFinding(finding)}`);
    });
  }

  style(colour: Colour, text: string): string {
    return this.#errors.isTTY === true && this.#out.isTTY === true ? styleText(colour, text) : text;
  }
}

/** Formats rows as aligned columns under a header. */
export function table(header: readonly string[], rows: readonly Row[]): string {
  const cells = [header, ...rows.map((row) => row.map(String))];
  const widths = header.map((_, column) => (
    Math.max(...cells.map((row) => row[column]?.length ?? 0))));
  return cells.map((row) => row
    .map((cell, column) => cell.padEnd(widths[column] ?? 0))
    .join(COLUMN_GAP)
    .trimEnd()).join('\n');
}
