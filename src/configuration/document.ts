/** Parses one TOML file into a tree. Invalid input never throws: it is reported as findings. */
import { LRUCache } from 'lru-cache';
import { ParseError, parseTOML } from 'toml-eslint-parser';
import type { AST } from 'toml-eslint-parser';
import type { Finding, Place } from '../common/finding.js';
import { sha256 } from '../common/hash.js';
import type { List, Node, Table } from './tree.js';

const MAX_FILE_BYTES = 262_144;
const MAX_DEPTH = 16;
/** Maximum total length of the texts whose parsed documents are cached. */
const MAX_CACHED_CHARS = 1_048_576;

export interface Document {
  /** Empty when the file can't be parsed. */
  readonly table: Table;
  readonly findings: readonly Finding[];
}

interface MutableTable { readonly place: Place; readonly entries: Map<string, Entry> }

interface MutableList { readonly place: Place; readonly tables: MutableTable[] }

/** The value of a key during parsing: tables and arrays of tables can still be extended. */
type Entry =
  | { readonly kind: 'node'; readonly node: Node }
  | { readonly kind: 'table'; readonly table: MutableTable }
  | { readonly kind: 'tables'; readonly list: MutableList };

interface Located { readonly loc: AST.TOMLKeyValue['loc'] }

function syntaxError(place: Place, message: string): Finding {
  return {
    severity: 'error', place, path: 'syntax', message,
  };
}

function placeIn(file: string, { loc }: Located): Place {
  return { file, line: loc.start.line, column: loc.start.column + 1 };
}

function keyText(key: AST.TOMLBare | AST.TOMLQuoted): string {
  return key.type === 'TOMLBare' ? key.name : key.value;
}

/** Converts a table and everything below it to the immutable form. */
function toTable({ place, entries }: MutableTable): Table {
  const toNode = (entry: Entry): Node => {
    switch (entry.kind) {
      case 'node': return entry.node;
      case 'table': return toTable(entry.table);
      case 'tables': return {
        kind: 'list',
        place: entry.list.place,
        items: entry.list.tables.map(toTable),
        overridden: [],
      };
    }
  };
  const nodes = new Map([...entries].map(([key, entry]) => [key, toNode(entry)] as const));
  return {
    kind: 'table', place, entries: nodes, overridden: [],
  };
}

class Reader {
  readonly #file: string;

  readonly #findings: Finding[] = [];

  private constructor(file: string) {
    this.#file = file;
  }

  static of(file: string): Reader {
    return new Reader(file);
  }

  get findings(): readonly Finding[] {
    return this.#findings;
  }

  read(program: AST.TOMLProgram): Table {
    const root: MutableTable = {
      place: { file: this.#file, line: 1, column: 1 }, entries: new Map(),
    };
    program.body[0].body.forEach((item) => {
      if (item.type === 'TOMLKeyValue') this.#assign(root, item);
      else this.#readSection(root, item);
    });
    return toTable(root);
  }

  #readSection(root: MutableTable, section: AST.TOMLTable): void {
    const { keys } = section.key;
    const parent = this.#resolveTable(root, keys.slice(0, -1));
    const last = keys.at(-1)!;
    const target = section.kind === 'array'
      ? this.#appendTable(parent, last)
      : this.#resolveTable(parent, [last]);
    section.body.forEach((item) => this.#assign(target, item));
  }

  #appendTable(parent: MutableTable, key: AST.TOMLBare | AST.TOMLQuoted): MutableTable {
    const place = placeIn(this.#file, key);
    const name = keyText(key);
    const existing = parent.entries.get(name);
    const list = existing?.kind === 'tables' ? existing.list : { place, tables: [] };
    const table = { place, entries: new Map() };
    list.tables.push(table);
    parent.entries.set(name, { kind: 'tables', list });
    return table;
  }

  /** The table at `keys`, created if missing; a key of an array of tables means its last table. */
  #resolveTable(
    from: MutableTable,
    keys: readonly (AST.TOMLBare | AST.TOMLQuoted)[],
  ): MutableTable {
    return keys.reduce((parent, key) => {
      const existing = parent.entries.get(keyText(key));
      if (existing?.kind === 'table') return existing.table;
      if (existing?.kind === 'tables') return existing.list.tables.at(-1)!;
      const table: MutableTable = { place: placeIn(this.#file, key), entries: new Map() };
      parent.entries.set(this.#keyName(key), { kind: 'table', table });
      return table;
    }, from);
  }

  #assign(table: MutableTable, { key, value }: AST.TOMLKeyValue, depth = 0): void {
    const parent = this.#resolveTable(table, key.keys.slice(0, -1));
    const last = key.keys.at(-1)!;
    const node = this.#convertValue(value, placeIn(this.#file, last), depth);
    parent.entries.set(this.#keyName(last), { kind: 'node', node });
  }

  #convertValue(content: AST.TOMLContentNode, place: Place, depth: number): Node {
    if (depth > MAX_DEPTH) {
      this.#report(place, `is nested deeper than ${MAX_DEPTH} levels`);
      return {
        kind: 'value', place, value: '', overridden: [],
      };
    }
    switch (content.type) {
      case 'TOMLValue': return {
        kind: 'value', place, value: content.value, overridden: [],
      };
      case 'TOMLArray': return this.#convertArray(content, place, depth);
      case 'TOMLInlineTable': {
        const table: MutableTable = { place, entries: new Map() };
        content.body.forEach((item) => this.#assign(table, item, depth + 1));
        return toTable(table);
      }
    }
  }

  #convertArray(array: AST.TOMLArray, place: Place, depth: number): List {
    const items = array.elements
      .map((element) => this.#convertValue(element, placeIn(this.#file, element), depth + 1));
    return {
      kind: 'list', place, items, overridden: [],
    };
  }

  /** The key's text. `__proto__` is rejected: assigned to an object, it sets the prototype. */
  #keyName(key: AST.TOMLBare | AST.TOMLQuoted): string {
    const name = keyText(key);
    if (name !== '__proto__') return name;
    this.#report(placeIn(this.#file, key), 'is not allowed as a key');
    return 'proto';
  }

  #report(place: Place, message: string): void {
    this.#findings.push(syntaxError(place, message));
  }
}

function emptyTable(file: string): Table {
  return {
    kind: 'table', place: { file, line: 1, column: 1 }, entries: new Map(), overridden: [],
  };
}

function parseFailure(file: string, error: unknown): Finding {
  return error instanceof ParseError
    ? syntaxError({ file, line: error.lineNumber, column: error.column + 1 }, error.message)
    : syntaxError({ file, line: 1, column: 1 }, `can't be read as TOML: ${String(error)}`);
}

function parseDocument(file: string, text: string): Document {
  const start = { file, line: 1, column: 1 };
  if (Buffer.byteLength(text) > MAX_FILE_BYTES) {
    const finding = syntaxError(start, `is larger than ${MAX_FILE_BYTES} bytes`);
    return { table: emptyTable(file), findings: [finding] };
  }
  try {
    const reader = Reader.of(file);
    return { table: reader.read(parseTOML(text)), findings: reader.findings };
  } catch (error) {
    return { table: emptyTable(file), findings: [parseFailure(file, error)] };
  }
}

/** Caches by content, so that files unchanged since the last revision aren't parsed again. */
const documents = new LRUCache<string, Document>({ maxSize: MAX_CACHED_CHARS });

/** @param file name for the places in the findings */
export function readDocument(file: string, text: string): Document {
  const key = sha256(`${file}\n${text}`);
  const cached = documents.get(key);
  if (cached) return cached;
  const document = parseDocument(file, text);
  documents.set(key, document, { size: Math.max(1, text.length) });
  return document;
}
