/**
 * Configuration files as trees of tables, lists and values, each with its place in the source, and
 * their merge: a later file overrides an earlier one key by key. Lists are replaced as a whole.
 */
import type { Finding, Place } from '../common/finding.js';

export type Scalar = string | number | boolean | Date;

interface Located {
  readonly place: Place;
  /** The nodes of earlier files that this one overrides, the latest first. */
  readonly overridden: readonly Node[];
}

export interface Table extends Located {
  readonly kind: 'table';
  readonly entries: ReadonlyMap<string, Node>;
}

export interface List extends Located {
  readonly kind: 'list';
  readonly items: readonly Node[];
}

export interface Value extends Located {
  readonly kind: 'value';
  readonly value: Scalar;
}

export type Node = Table | List | Value;

export type Path = readonly (string | number)[];

export function formatPath(path: Path): string {
  return path.map((key) => (typeof key === 'number' ? `[${key}]` : `.${key}`)).join('')
    .replace(/^\./, '');
}

/** The node as plain data; tables become objects without a prototype. */
export function toPlain(node: Node): unknown {
  switch (node.kind) {
    case 'value': return node.value;
    case 'list': return node.items.map(toPlain);
    case 'table': {
      const plain = Object.create(null) as Record<string, unknown>;
      node.entries.forEach((entry, key) => {
        plain[key] = toPlain(entry);
      });
      return plain;
    }
  }
}

function childOf(node: Node, key: string | number): Node | undefined {
  if (node.kind === 'table') return node.entries.get(String(key));
  if (node.kind === 'list') return node.items[Number(key)];
  return undefined;
}

/** The node at `path`, if there is one. */
export function nodeAt(root: Node, path: Path): Node | undefined {
  return path.reduce<Node | undefined>((node, key) => node && childOf(node, key), root);
}

/** The place of the node at `path`, or of its closest existing ancestor. */
export function placeOf(root: Node, path: Path): Place | undefined {
  if (path.length === 0) return undefined;
  return nodeAt(root, path)?.place ?? placeOf(root, path.slice(0, -1));
}

function equalData(left: Node, right: Node): boolean {
  return JSON.stringify(toPlain(left)) === JSON.stringify(toPlain(right));
}

function overrideFindings(path: Path, earlier: Node, later: Node): Finding[] {
  const warn = (message: string): Finding => ({
    severity: 'warning', place: later.place, path: formatPath(path), message,
  });
  const { file, line } = earlier.place;
  if (earlier.kind !== later.kind) {
    return [warn(`replaces the ${earlier.kind} at ${file}:${line} with a ${later.kind}`)];
  }
  if (equalData(earlier, later)) return [warn(`is already the same at ${file}:${line}`)];
  return [];
}

/** Merges `later` into `earlier`; findings report repeated values and changes of a node's kind. */
export function merge(
  earlier: Table,
  later: Table,
  path: Path = [],
): { readonly table: Table; readonly findings: readonly Finding[] } {
  const entries = new Map(earlier.entries);
  const findings: Finding[] = [];
  later.entries.forEach((node, key) => {
    const existing = entries.get(key);
    const at = [...path, key];
    if (existing?.kind === 'table' && node.kind === 'table') {
      const merged = merge(existing, node, at);
      findings.push(...merged.findings);
      entries.set(key, merged.table);
    } else if (existing) {
      findings.push(...overrideFindings(at, existing, node));
      entries.set(key, { ...node, overridden: [existing, ...existing.overridden] });
    } else {
      entries.set(key, node);
    }
  });
  return { table: { ...earlier, entries }, findings };
}
