/**
 * Checks across settings: references to other tables, keys and addresses that must be unique, and
 * entries that nothing uses. They run even if single settings are invalid, so that all findings are
 * reported at once.
 */
import type { Finding, Severity } from '../common/finding.js';
import { DEFAULT_PLACEMENT } from './defaults.js';
import { parseDuration } from './fields.js';
import { suggestion } from './nearest.js';
import {
  formatPath, nodeAt, placeOf, toPlain,
} from './tree.js';
import type { Path, Table } from './tree.js';

/** A text in the folder and its path. */
interface Occurrence { readonly path: Path; readonly text: string }

function namesIn(root: Table, section: string): readonly string[] {
  const node = nodeAt(root, [section]);
  return node?.kind === 'table' ? [...node.entries.keys()] : [];
}

function textAt(root: Table, path: Path): string | undefined {
  const node = nodeAt(root, path);
  return node?.kind === 'value' && typeof node.value === 'string' ? node.value : undefined;
}

/** The text, or each text of a list, that the tables of the section have under `key`. */
function occurrences(root: Table, section: string, key: string): readonly Occurrence[] {
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

  /** All findings across the folder's settings. */
  static run(root: Table): readonly Finding[] {
    const check = new ReferenceCheck(root);
    check.#checkReferences();
    check.#checkPoolKinds();
    check.#checkDuplicates();
    check.#checkDurations();
    check.#checkUnused();
    return check.#findings;
  }

  #report(severity: Severity, path: Path, message: string): void {
    this.#findings.push({
      severity, place: placeOf(this.#root, path), path: formatPath(path), message,
    });
  }

  #checkReferences(): void {
    const checkNames = (section: string, key: string, noun: string, known: readonly string[]) => {
      occurrences(this.#root, section, key)
        .filter(({ text }) => !known.includes(text))
        .forEach(({ path, text }) => {
          this.#report('error', path, `no ${noun} ${text}; ${suggestion(text, known)}`);
        });
    };
    const models = namesIn(this.#root, 'models');
    const pools = namesIn(this.#root, 'pools');
    checkNames('servers', 'zone', 'availability zone', this.#zones());
    checkNames('servers', 'pool', 'pool', pools);
    checkNames('services', 'pool', 'pool', pools);
    checkNames('pools', 'models', 'model', models);
    checkNames('workspaces', 'models', 'model', models);
  }

  #zones(): readonly string[] {
    const node = nodeAt(this.#root, ['deployment', 'zones']);
    const zones = node ? toPlain(node) : [];
    return Array.isArray(zones) ? zones.map(String) : [];
  }

  #kindOf(pool: string): string {
    return textAt(this.#root, ['pools', pool, 'kind']) ?? 'engine';
  }

  #checkPoolKinds(): void {
    occurrences(this.#root, 'services', 'pool')
      .filter(({ text }) => namesIn(this.#root, 'pools').includes(text))
      .filter(({ text }) => this.#kindOf(text) !== 'service')
      .forEach(({ path, text }) => {
        this.#report('error', path, `pool ${text} holds engines; must be a pool of kind "service"`);
      });
    namesIn(this.#root, 'pools').filter((pool) => this.#kindOf(pool) === 'service')
      .filter((pool) => nodeAt(this.#root, ['pools', pool, 'models']))
      .forEach((pool) => {
        this.#report(
          'warning',
          ['pools', pool, 'models'],
          'has no effect in a pool of kind "service"',
        );
      });
  }

  #checkDuplicates(): void {
    this.#reportRepeated('servers', 'address', 'error');
    this.#reportRepeated('workspaces', 'key_hashes', 'error');
  }

  /** Reports each text under `key` that an earlier table of the section already has. */
  #reportRepeated(section: string, key: string, severity: Severity): void {
    const firstUse = new Map<string, string>();
    occurrences(this.#root, section, key).forEach(({ path, text }) => {
      const name = String(path[1]);
      const earlier = firstUse.get(text);
      if (earlier !== undefined && earlier !== name) {
        this.#report(severity, path, `is the same as that of ${section}.${earlier}`);
      }
      firstUse.set(text, earlier ?? name);
    });
  }

  #checkDurations(): void {
    const durationAt = (key: string, fallback: number) => {
      const text = textAt(this.#root, ['placement', key]);
      return text === undefined ? fallback : parseDuration(text);
    };
    const lease = durationAt('lease', DEFAULT_PLACEMENT.leaseMs);
    const order = durationAt('order_timeout', DEFAULT_PLACEMENT.orderTimeoutMs);
    if (lease === undefined || order === undefined || order < lease) return;
    const key = nodeAt(this.#root, ['placement', 'order_timeout']) ? 'order_timeout' : 'lease';
    this.#report('error', ['placement', key], 'order_timeout must be shorter than lease');
  }

  #checkUnused(): void {
    const used = new Set(occurrences(this.#root, 'servers', 'pool').map(({ text }) => text));
    namesIn(this.#root, 'pools').filter((pool) => !used.has(pool)).forEach((pool) => {
      this.#report('warning', ['pools', pool], 'has no backend servers');
    });
    const enginePools = namesIn(this.#root, 'pools')
      .filter((pool) => this.#kindOf(pool) === 'engine');
    const acceptsAll = enginePools.some((pool) => {
      const models = nodeAt(this.#root, ['pools', pool, 'models']);
      return models === undefined || (models.kind === 'list' && models.items.length === 0);
    });
    const listed = new Set(occurrences(this.#root, 'pools', 'models').map(({ text }) => text));
    namesIn(this.#root, 'models').filter((model) => !acceptsAll && !listed.has(model))
      .forEach((model) => {
        this.#report('warning', ['models', model], 'no pool may hold it');
      });
  }
}
