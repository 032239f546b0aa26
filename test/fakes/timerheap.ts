/** A binary heap of timers by due time; timers due at the same time keep their order. */

export interface Timer { readonly at: number; readonly order: number; readonly fire: () => void }

function before(left: Timer, right: Timer): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order);
}

export class TimerHeap {
  readonly #entries: Timer[] = [];

  get first(): Timer | undefined {
    return this.#entries[0];
  }

  push(entry: Timer): void {
    const entries = this.#entries;
    let at = entries.push(entry) - 1;
    while (at > 0) {
      const parent = Math.floor((at - 1) / 2);
      if (!before(entry, entries[parent]!)) break;
      entries[at] = entries[parent]!;
      at = parent;
    }
    entries[at] = entry;
  }

  pop(): void {
    const entries = this.#entries;
    const last = entries.pop()!;
    if (entries.length === 0) return;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= entries.length) break;
      if (child + 1 < entries.length && before(entries[child + 1]!, entries[child]!)) child += 1;
      if (!before(entries[child]!, last)) break;
      entries[at] = entries[child]!;
      at = child;
    }
    entries[at] = last;
  }
}
