/** Percentiles from histograms, and tables of them. */
import { build } from 'hdr-histogram-js';

const SCALE = 1_000;

export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** Percentiles of durations in milliseconds, to a microsecond. */
export function percentiles(durations: readonly number[]): Percentiles {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  durations.filter(Number.isFinite)
    .forEach((ms) => histogram.recordValue(Math.max(0, Math.round(ms * SCALE))));
  const at = (percent: number) => histogram.getValueAtPercentile(percent) / SCALE;
  return {
    count: histogram.totalCount, p50: at(50), p99: at(99), max: histogram.maxValue / SCALE,
  };
}

export type Row = Readonly<Record<string, string | number>>;

function cell(value: string | number | undefined): string {
  if (typeof value !== 'number') return value ?? '';
  return Number.isInteger(value) ? String(value) : value.toFixed(value < 10 ? 2 : 1);
}

/** Rows with the same columns as a Markdown table. */
export function table(rows: readonly Row[]): string {
  const columns = Object.keys(rows[0] ?? {});
  const line = (cells: readonly string[]) => `| ${cells.join(' | ')} |`;
  return [
    line(columns),
    line(columns.map(() => '---')),
    ...rows.map((row) => line(columns.map((column) => cell(row[column])))),
  ].join('\n');
}
