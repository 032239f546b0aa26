/** What is left of a message between instances without what can't be read of it. */

/** Where something can't be read: the field, and its entry if only that one can't. */
interface Issue { readonly path: readonly PropertyKey[] }

/** Fields whose entries belong together by their place. */
const PAIRED: readonly string[] = ['crashes', 'crashRequests'];

export function entriesOf(value: unknown): ReadonlyMap<string, unknown> {
  return new Map(typeof value === 'object' && value !== null ? Object.entries(value) : []);
}

/** A field without the entries that can't be read; undefined if it is no list or record of any. */
function withoutEntries(value: unknown, odd: ReadonlySet<string>): unknown {
  const kept = [...entriesOf(value)].filter(([key]) => !odd.has(key));
  if (Array.isArray(value)) return kept.map(([, entry]) => entry);
  return typeof value === 'object' ? Object.fromEntries(kept) : undefined;
}

/** A message without what `issues` name. */
export function withoutIssues(value: unknown, issues: readonly Issue[]): unknown {
  const odd = new Map<string, Set<string> | 'field'>();
  issues.forEach(({ path: [field, entry] }) => {
    const name = String(field);
    (PAIRED.includes(name) ? PAIRED : [name]).forEach((each) => {
      const entries = odd.get(each) ?? new Set();
      const isWhole = entry === undefined || entries === 'field';
      odd.set(each, isWhole ? 'field' : entries.add(String(entry)));
    });
  });
  return Object.fromEntries([...entriesOf(value)].flatMap(([name, field]) => {
    const entries = odd.get(name);
    if (entries === 'field') return [];
    return [[name, entries ? withoutEntries(field, entries) : field]];
  }));
}
