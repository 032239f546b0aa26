/**
 * Checks that span several settings: names that refer to other tables, keys and addresses that
 * must differ, and parts that nothing can use. They work on a folder whose single settings may be
 * wrong, so that every finding is reported at once.
 */
import type { Finding, Severity } from '../common/finding.js';
import { DEFAULT_PLACEMENT } from './defaults.js';
import { parseDuration } from './fields.js';
import { suggestion } from './nearest.js';
import {
  formatPath, nodeAt, placeOf, plainOf,
} from './tree.js';
import type { Path, Table } from './tree.js';

/** One text of the folder and where it is. */
interface Mention { readonly path: Path; readonly text: string }

function namesIn(root: Table, section: string): readonly string[] {
  const node = nodeAt(root, [section]);
  return node?.kind === 'table' ? [...node.entries.keys()] : [];
}

function textAt(root: Table, path: Path): string | undefined {
  const node = nodeAt(root, path);
  return node?.kind === 'value' && typeof node.value === 'string' ? node.value : undefined;
}

/** The text, or each text of the list, under `key` of every table of the section. */
function mentions(root: Table, section: string, key: string): readonly Mention[] {
  return namesIn(root, section).flatMap((name) => {
    const path = [section, name, key];
    const node = nodeAt(root, path);
    const count = node?.kind === 'list' ? node.items.length : 0;
    const paths = [path, ...Array.from({ length: count }, (_, index) => [...path, index])];
    return paths.flatMap((at) => {
      const text = textAt(root, at);
      return text === undefined ? [] : [{ path: at, text }];
    });
  });
}

export class ReferenceCheck {
  readonly #root: Table;

  readonly #findings: Finding[] = [];

  private constructor(root: Table) {
    this.#root = root;
  }

  /** All findings about how the folder's parts fit together. */
  static run(root: Table): readonly Finding[] {
    const check = new ReferenceCheck(root);
    check.#references();
    check.#kinds();
    check.#duplicates();
    check.#durations();
    check.#unused();
    return check.#findings;
  }

  #report(severity: Severity, path: Path, message: string): void {
    this.#findings.push({
      severity, place: placeOf(this.#root, path), path: formatPath(path), message,
    });
  }

  #references(): void {
    const refer = (section: string, key: string, what: string, known: readonly string[]) => {
      mentions(this.#root, section, key)
        .filter(({ text }) => !known.includes(text))
        .forEach(({ path, text }) => {
          this.#report('error', path, `no ${what} ${text}; ${suggestion(text, known)}`);
        });
    };
    const models = namesIn(this.#root, 'models');
    const pools = namesIn(this.#root, 'pools');
    refer('servers', 'zone', 'availability zone', this.#zones());
    refer('servers', 'pool', 'pool', pools);
    refer('services', 'pool', 'pool', pools);
    refer('pools', 'models', 'model', models);
    refer('workspaces', 'models', 'model', models);
  }

  #zones(): readonly string[] {
    const node = nodeAt(this.#root, ['deployment', 'zones']);
    const zones = node ? plainOf(node) : [];
    return Array.isArray(zones) ? zones.map(String) : [];
  }

  #kindOf(pool: string): string {
    return textAt(this.#root, ['pools', pool, 'kind']) ?? 'engine';
  }

  #kinds(): void {
    mentions(this.#root, 'services', 'pool')
      .filter(({ text }) => namesIn(this.#root, 'pools').includes(text))
      .filter(({ text }) => this.#kindOf(text) !== 'service')
      .forEach(({ path, text }) => {
        this.#report('error', path, `pool ${text} holds engines; must be a pool of kind "service"`);
      });
    namesIn(this.#root, 'pools').filter((pool) => this.#kindOf(pool) === 'service')
      .filter((pool) => nodeAt(this.#root, ['pools', pool, 'models']))
      .forEach((pool) => {
        this.#report('warning', ['pools', pool, 'models'], 'has no meaning for plain services');
      });
  }

  #duplicates(): void {
    this.#repeated('servers', 'address', 'error');
    this.#repeated('workspaces', 'key_hashes', 'error');
  }

  /** Reports each text under `key` that an earlier table of the section has as well. */
  #repeated(section: string, key: string, severity: Severity): void {
    const first = new Map<string, string>();
    mentions(this.#root, section, key).forEach(({ path, text }) => {
      const name = String(path[1]);
      const before = first.get(text);
      if (before !== undefined && before !== name) {
        this.#report(severity, path, `is the same as that of ${section}.${before}`);
      }
      first.set(text, before ?? name);
    });
  }

  #durations(): void {
    const at = (key: string, fallback: number) => {
      const text = textAt(this.#root, ['placement', key]);
      return text === undefined ? fallback : parseDuration(text);
    };
    const lease = at('lease', DEFAULT_PLACEMENT.leaseMs);
    const order = at('order_timeout', DEFAULT_PLACEMENT.orderTimeoutMs);
    if (lease === undefined || order === undefined || order < lease) return;
    const key = nodeAt(this.#root, ['placement', 'order_timeout']) ? 'order_timeout' : 'lease';
    this.#report('error', ['placement', key], 'order_timeout must be shorter than lease');
  }

  #unused(): void {
    const used = new Set(mentions(this.#root, 'servers', 'pool').map(({ text }) => text));
    namesIn(this.#root, 'pools').filter((pool) => !used.has(pool)).forEach((pool) => {
      this.#report('warning', ['pools', pool], 'has no backend servers');
    });
    const open = namesIn(this.#root, 'pools').filter((pool) => this.#kindOf(pool) === 'engine');
    const servesAll = open.some((pool) => {
      const models = nodeAt(this.#root, ['pools', pool, 'models']);
      return models === undefined || (models.kind === 'list' && models.items.length === 0);
    });
    const held = new Set(mentions(this.#root, 'pools', 'models').map(({ text }) => text));
    namesIn(this.#root, 'models').filter((model) => !servesAll && !held.has(model))
      .forEach((model) => {
        this.#report('warning', ['models', model], 'no pool may hold it');
      });
  }
}
