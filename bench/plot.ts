/** Curves as SVG and as text, without a plotting library. */

export interface Point { readonly x: number; readonly y: number }

export interface Curve { readonly name: string; readonly points: readonly Point[] }

export interface Plot {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly curves: readonly Curve[];
}

const WIDTH = 640;
const HEIGHT = 360;
const MARGIN = 60;
const COLUMNS = 64;
const ROWS = 16;
const COLOURS = ['#1b6ca8', '#b8401f', '#3d7a33', '#7a4fa3', '#8a6d1a'];
const MARKS = 'ox+*#';

interface Range { readonly min: number; readonly max: number }

function rangeOf(values: readonly number[]): Range {
  const max = Math.max(...values, 0);
  return { min: Math.min(...values, 0), max: max === 0 ? 1 : max };
}

function rangesOf({ curves }: Plot): { readonly x: Range; readonly y: Range } {
  const points = curves.flatMap((curve) => curve.points);
  return { x: rangeOf(points.map(({ x }) => x)), y: rangeOf(points.map(({ y }) => y)) };
}

/** Where `value` lies in the range, from 0 to 1. */
function fraction(value: number, { min, max }: Range): number {
  return (value - min) / (max - min);
}

function short(value: number): string {
  return Number(value.toPrecision(3)).toString();
}

function escape(label: string): string {
  return label.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}

function svgCurve({ name, points }: Curve, index: number, ranges: { x: Range; y: Range }): string {
  const colour = COLOURS[index % COLOURS.length]!;
  const places = points.map(({ x, y }) => ({
    left: MARGIN + fraction(x, ranges.x) * (WIDTH - 2 * MARGIN),
    top: HEIGHT - MARGIN - fraction(y, ranges.y) * (HEIGHT - 2 * MARGIN),
  }));
  const path = places.map(({ left, top }) => `${left.toFixed(1)},${top.toFixed(1)}`).join(' ');
  const dots = places
    .map(({ left, top }) => `<circle cx="${left.toFixed(1)}" cy="${top.toFixed(1)}" r="3"/>`);
  return `<g fill="${colour}"><polyline fill="none" stroke="${colour}" points="${path}"/>${
    dots.join('')}<text x="${MARGIN + 8}" y="${MARGIN + 14 * index}">${escape(name)}</text></g>`;
}

/** The plot as an SVG document. */
export function svg(plot: Plot): string {
  const ranges = rangesOf(plot);
  const bottom = HEIGHT - MARGIN;
  const right = WIDTH - MARGIN;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}"`,
    ' font-family="sans-serif" font-size="12">',
    `<text x="${WIDTH / 2}" y="20" text-anchor="middle">${escape(plot.title)}</text>`,
    `<path d="M${MARGIN},${MARGIN}V${bottom}H${right}" fill="none" stroke="#444"/>`,
    `<text x="${WIDTH / 2}" y="${HEIGHT - 16}" text-anchor="middle">${escape(plot.xLabel)}</text>`,
    `<text x="8" y="${MARGIN - 16}">${escape(plot.yLabel)}</text>`,
    `<text x="${MARGIN}" y="${bottom + 16}">${short(ranges.x.min)}</text>`,
    `<text x="${right}" y="${bottom + 16}" text-anchor="end">${short(ranges.x.max)}</text>`,
    `<text x="${MARGIN - 4}" y="${bottom}" text-anchor="end">${short(ranges.y.min)}</text>`,
    `<text x="${MARGIN - 4}" y="${MARGIN}" text-anchor="end">${short(ranges.y.max)}</text>`,
    ...plot.curves.map((curve, index) => svgCurve(curve, index, ranges)),
    '</svg>',
  ].join('\n');
}

/** The plot for a terminal. */
export function text(plot: Plot): string {
  const ranges = rangesOf(plot);
  const grid = Array.from({ length: ROWS }, () => Array.from({ length: COLUMNS }, () => ' '));
  plot.curves.forEach(({ points }, index) => points.forEach(({ x, y }) => {
    const row = ROWS - 1 - Math.round(fraction(y, ranges.y) * (ROWS - 1));
    const column = Math.round(fraction(x, ranges.x) * (COLUMNS - 1));
    grid[row]![column] = MARKS[index % MARKS.length]!;
  }));
  const legend = plot.curves
    .map(({ name }, index) => `${MARKS[index % MARKS.length]} ${name}`).join('   ');
  return [
    plot.title,
    `${plot.yLabel}, up to ${short(ranges.y.max)}; ${legend}`,
    ...grid.map((row) => `|${row.join('').trimEnd()}`),
    `+${'-'.repeat(COLUMNS)}`,
    ` ${plot.xLabel}, ${short(ranges.x.min)} to ${short(ranges.x.max)}`,
  ].join('\n');
}
