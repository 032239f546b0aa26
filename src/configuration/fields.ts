/**
 * Types of settings. Each is a zod schema with a description for the operators' page, so that the
 * checks and the page have one source. Durations and sizes are strings with a unit; the key of a
 * rate names its unit.
 */
import { z } from 'zod';
import { isHostPort } from '../common/address.js';

/** The description of one setting on the operators' page. */
export interface Description {
  readonly doc: string;
  /** The type of the value and its bounds. */
  readonly allowed: string;
  /** The default as written in TOML; undefined for a required setting. */
  readonly fallback: string | undefined;
}

export const descriptions = z.registry<Description>();

export const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const MAX_TEXT = 256;

const DURATION_PATTERN = /^(\d{1,9}(?:\.\d{1,3})?)(ms|s|m|h)$/;
const DURATION_UNITS: Readonly<Record<string, number>> = {
  ms: 1, s: 1_000, m: 60_000, h: 3_600_000,
};
const SIZE_PATTERN = /^(\d{1,9}(?:\.\d{1,3})?)(B|KiB|MiB|GiB|TiB)$/;
const SIZE_UNITS: Readonly<Record<string, number>> = {
  B: 1, KiB: 2 ** 10, MiB: 2 ** 20, GiB: 2 ** 30, TiB: 2 ** 40,
};

function parseUnit(
  input: unknown,
  pattern: RegExp,
  units: Readonly<Record<string, number>>,
): number | undefined {
  const match = typeof input === 'string' ? pattern.exec(input) : null;
  return match ? Math.round(Number(match[1]) * units[match[2]!]!) : undefined;
}

/** A duration such as `"250ms"` in milliseconds, or undefined. */
export function parseDuration(input: unknown): number | undefined {
  return parseUnit(input, DURATION_PATTERN, DURATION_UNITS);
}

/** A size such as `"64KiB"` in bytes, or undefined. */
function parseSize(input: unknown): number | undefined {
  return parseUnit(input, SIZE_PATTERN, SIZE_UNITS);
}

/**
 * A setting whose values are those that `parse` accepts. The default, `fallback`, is written as it
 * would be in a file and goes through `parse` as well.
 */
function setting<Output>(
  doc: string,
  allowed: string,
  fallback: unknown,
  parse: (input: unknown) => Output | undefined,
): z.ZodType<Output> {
  const schema = z.unknown().optional().transform((input, context): Output => {
    const output = parse(input === undefined ? fallback : input);
    if (output !== undefined) return output;
    const problem = input === undefined ? 'is missing; must be' : 'must be';
    context.addIssue({ code: 'custom', message: `${problem} ${allowed}` });
    return z.NEVER;
  });
  descriptions.add(schema, {
    doc, allowed, fallback: fallback === undefined ? undefined : JSON.stringify(fallback),
  });
  return schema;
}

interface Bounds { readonly min: number; readonly max: number }

function inRange(value: number | undefined, { min, max }: Bounds): number | undefined {
  return value !== undefined && value >= min && value <= max ? value : undefined;
}

export function integer(doc: string, bounds: Bounds, fallback?: number): z.ZodType<number> {
  const allowed = `a whole number from ${bounds.min} to ${bounds.max}`;
  return setting(doc, allowed, fallback, (input) => (
    Number.isInteger(input) ? inRange(input as number, bounds) : undefined));
}

export function decimal(doc: string, bounds: Bounds, fallback?: number): z.ZodType<number> {
  const allowed = `a number from ${bounds.min} to ${bounds.max}`;
  return setting(doc, allowed, fallback, (input) => (
    typeof input === 'number' ? inRange(input, bounds) : undefined));
}

interface TextBounds { readonly min: string; readonly max: string }

/** Parses to milliseconds. */
export function duration(doc: string, bounds: TextBounds, fallback?: string): z.ZodType<number> {
  const allowed = `a duration from "${bounds.min}" to "${bounds.max}", in ms, s, m or h`;
  const limits = { min: parseDuration(bounds.min)!, max: parseDuration(bounds.max)! };
  return setting(doc, allowed, fallback, (input) => inRange(parseDuration(input), limits));
}

/** Parses to bytes. */
export function size(doc: string, bounds: TextBounds, fallback?: string): z.ZodType<number> {
  const allowed = `a size from "${bounds.min}" to "${bounds.max}", in B, KiB, MiB, GiB or TiB`;
  const limits = { min: parseSize(bounds.min)!, max: parseSize(bounds.max)! };
  return setting(doc, allowed, fallback, (input) => inRange(parseSize(input), limits));
}

export function flag(doc: string, fallback: boolean): z.ZodType<boolean> {
  return setting(doc, 'true or false', fallback, (input) => (
    typeof input === 'boolean' ? input : undefined));
}

export function choice<const Choice extends string>(
  doc: string,
  choices: readonly Choice[],
  fallback?: Choice,
): z.ZodType<Choice> {
  const allowed = choices.map((name) => `"${name}"`).join(' or ');
  return setting(doc, allowed, fallback, (input) => choices.find((name) => name === input));
}

/** One of `choices`, or undefined if the setting is missing. */
export function optionalChoice<const Choice extends string>(
  doc: string,
  choices: readonly Choice[],
): z.ZodType<Choice | undefined> {
  const allowed = choices.map((name) => `"${name}"`).join(' or ');
  const schema = choice(doc, choices).optional();
  descriptions.add(schema, { doc, allowed, fallback: 'see the text' });
  return schema;
}

function isText(input: unknown): input is string {
  return typeof input === 'string' && input.length > 0 && input.length <= MAX_TEXT;
}

export function text(doc: string, fallback?: string): z.ZodType<string> {
  return setting(doc, `a text of 1 to ${MAX_TEXT} characters`, fallback, (input) => (
    isText(input) ? input : undefined));
}

/** A text that matches `pattern`. */
export function matching(doc: string, allowed: string, pattern: RegExp, fallback?: string) {
  return setting(doc, allowed, fallback, (input) => (
    isText(input) && pattern.test(input) ? input : undefined));
}

/** A list of distinct texts that match `pattern`; findings point to the invalid item. */
export function textList(
  doc: string,
  allowed: string,
  pattern: RegExp,
  fallback?: readonly string[],
): z.ZodType<readonly string[]> {
  const item = z.unknown().transform((input, context): string => {
    if (isText(input) && pattern.test(input)) return input;
    context.addIssue({ code: 'custom', message: `must be ${allowed}` });
    return z.NEVER;
  });
  const list = z.array(item, {
    error: (issue) => (
      `${issue.input === undefined ? 'is missing; must be' : 'must be'} a list, each ${allowed}`
    ),
  }).superRefine((items, context) => {
    items.forEach((value, index) => {
      if (items.indexOf(value) === index) return;
      context.addIssue({ code: 'custom', path: [index], message: `repeats "${value}"` });
    });
  });
  const schema = fallback ? list.default([...fallback]) : list;
  descriptions.add(schema, {
    doc, allowed: `a list, each ${allowed}`, fallback: fallback && JSON.stringify(fallback),
  });
  return schema;
}

export function address(doc: string): z.ZodType<string> {
  return setting(doc, 'an IP address and port, such as "10.0.0.7:8000"', undefined, (input) => (
    isText(input) && isHostPort(input) ? input : undefined));
}
