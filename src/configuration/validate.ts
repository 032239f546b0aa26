/** Validates a tree against a schema; each finding has the place and the key. */
import type { z } from 'zod';
import type { Finding } from '../common/finding.js';
import { suggestion } from './nearest.js';
import { defOf, unwrap } from './schema.js';
import type { Schema } from './schema.js';
import { formatPath, placeOf, toPlain } from './tree.js';
import type { Path, Table } from './tree.js';

export interface Validation<Data> {
  /** Undefined if there are findings. */
  readonly data: Data | undefined;
  readonly findings: readonly Finding[];
}

/** The keys that the schema allows in the table at `path`. */
function knownKeys(root: Schema, path: Path): readonly string[] {
  let schema = root;
  path.forEach((key) => {
    const def = defOf(unwrap(schema));
    if (def.type === 'object') schema = def.shape[String(key)]!;
    else if (def.type === 'record') schema = def.valueType;
    else if (def.type === 'array') schema = def.element;
  });
  const def = defOf(unwrap(schema));
  return def.type === 'object' ? Object.keys(def.shape) : [];
}

function issueFindings(
  schema: Schema,
  root: Table,
  issue: z.core.$ZodIssue,
): readonly Finding[] {
  const path = issue.path.map((key) => (typeof key === 'number' ? key : String(key)));
  const finding = (at: Path, message: string): Finding => ({
    severity: 'error', place: placeOf(root, at), path: formatPath(at), message,
  });
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => (
      finding([...path, key], `is not known; ${suggestion(key, knownKeys(schema, path))}`)));
  }
  if (issue.code === 'invalid_key') {
    return [finding(path, issue.issues[0]?.message ?? issue.message)];
  }
  return [finding(path, issue.message)];
}

export function validate<Data>(schema: z.ZodType<Data>, table: Table): Validation<Data> {
  const parsed = schema.safeParse(toPlain(table));
  if (parsed.success) return { data: parsed.data, findings: [] };
  const findings = parsed.error.issues.flatMap((issue) => issueFindings(schema, table, issue));
  return { data: undefined, findings };
}
