/**
 * Checks a folder of configuration files and builds the effective configuration from it. The check
 * never throws and never stops at the first error: all findings are reported together.
 */
import { hasErrors } from '../common/finding.js';
import type { Finding, Place } from '../common/finding.js';
import { assemble } from './assemble.js';
import type { Configuration } from './configuration.js';
import { EMPTY_CONFIGURATION } from './defaults.js';
import { readDocument } from './document.js';
import { descriptions } from './fields.js';
import { ReferenceCheck } from './references.js';
import { defOf, FOLDER, unwrap } from './schema.js';
import type { Schema } from './schema.js';
import {
  formatPath, merge, nodeAt, toPlain,
} from './tree.js';
import type { Node, Path, Table } from './tree.js';
import { validate } from './validate.js';

/** File texts by file name. */
export type Folder = Readonly<Record<string, string>>;

export interface Check {
  /** Undefined when there are error findings. */
  readonly configuration: Configuration | undefined;
  readonly findings: readonly Finding[];
  /** The files merged into one table. */
  readonly table: Table;
}

const FILE_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,126}\.toml$/;

/** The folder's file names in the order in which the files are merged. */
export function fileNames(folder: Folder): readonly string[] {
  return Object.keys(folder).sort((left, right) => (left < right ? -1 : 1));
}

function mergeFiles(folder: Folder): { table: Table; findings: readonly Finding[] } {
  const findings: Finding[] = [];
  const empty: Table = {
    kind: 'table', place: { file: '', line: 1, column: 1 }, entries: new Map(), overridden: [],
  };
  const table = fileNames(folder).reduce((merged, name) => {
    if (!FILE_PATTERN.test(name)) {
      const place = { file: name, line: 1, column: 1 };
      const message = 'must be letters, digits, dots, hyphens and underscores, ending in .toml';
      findings.push({
        severity: 'error', place, path: 'file name', message,
      });
      return merged;
    }
    const document = readDocument(name, folder[name]!);
    const result = merge(merged, document.table);
    findings.push(...document.findings, ...result.findings);
    return result.table;
  }, empty);
  return { table, findings };
}

function comparePlaces(left: Finding, right: Finding): number {
  const [a, b] = [left.place, right.place];
  if (!a || !b) return Number(a !== undefined) - Number(b !== undefined);
  if (a.file !== b.file) return a.file < b.file ? -1 : 1;
  return a.line - b.line || a.column - b.column;
}

/**
 * An empty folder is valid: the result is the empty configuration and a warning.
 * @param revision the revision of the resulting configuration
 */
export function checkFolder(folder: Folder, revision = 0): Check {
  const { table, findings: merged } = mergeFiles(folder);
  if (Object.keys(folder).length === 0) {
    const message = 'the folder is empty; nothing would be served';
    const finding: Finding = { severity: 'warning', path: 'folder', message };
    return { configuration: { ...EMPTY_CONFIGURATION, revision }, findings: [finding], table };
  }
  const valid = validate(FOLDER, table);
  const findings = [
    ...merged,
    ...valid.findings,
    ...ReferenceCheck.run(table),
  ].sort(comparePlaces);
  const configuration = valid.data && !hasErrors(findings)
    ? assemble(valid.data, revision)
    : undefined;
  return { configuration, findings, table };
}

/** The origin of one key's value: the file that sets it, the values it overrides, the default. */
export interface Origin {
  readonly path: string;
  /** The effective value as JSON; undefined when no file sets the key. */
  readonly value: string | undefined;
  readonly place: Place | undefined;
  /** The values that earlier files set and this one overrides, the latest first. */
  readonly hidden: readonly { readonly value: string; readonly place: Place }[];
  /** The default as JSON; undefined for a key without one. */
  readonly fallback: string | undefined;
}

function leafNodes(node: Node, path: Path): readonly [Path, Node][] {
  if (node.kind !== 'table') return [[path, node]];
  return [...node.entries].flatMap(([key, entry]) => leafNodes(entry, [...path, key]));
}

function fallbackOf(path: Path): string | undefined {
  let schema: Schema | undefined = FOLDER;
  path.forEach((key) => {
    const def = defOf(unwrap(schema!));
    if (def.type === 'object') schema = def.shape[String(key)];
    else schema = def.type === 'record' ? def.valueType : undefined;
  });
  return schema && descriptions.get(schema)?.fallback;
}

/** The origin of `key`, or of every key below it. A name that contains dots is matched whole. */
export function explain({ table }: Check, key: string): readonly Origin[] {
  const asJson = (node: Node) => JSON.stringify(toPlain(node));
  const found = leafNodes(table, [])
    .filter(([path]) => `${formatPath(path)}.`.startsWith(`${key}.`))
    .map(([leafPath, node]): Origin => ({
      path: formatPath(leafPath),
      value: asJson(node),
      place: node.place,
      hidden: node.overridden.map((earlier) => ({ value: asJson(earlier), place: earlier.place })),
      fallback: fallbackOf(leafPath),
    }));
  if (found.length > 0) return found;
  const path = key.split('.');
  const fallback = nodeAt(table, path) ? undefined : fallbackOf(path);
  return fallback === undefined
    ? []
    : [{
      path: key, value: undefined, place: undefined, hidden: [], fallback,
    }];
}
