/** Names for processes by what they do at a moment, which steps may use for a process's own. */
import type { World } from './world.js';

/** The engine that runs the most generations. */
export const BUSIEST = 'busiest';
/** A daemon that holds the placement lease. */
export const HOLDER = 'holder';
/** A daemon that is being stopped. */
export const STOPPING = 'stopping';

/** The name of the process that `name` stands for now; that of the first one where none does so. */
export function processName({ daemons, engines }: World, name: string): string {
  const [first = ''] = daemons.keys();
  switch (name) {
    case HOLDER:
      return [...daemons].find(([, { instance }]) => instance?.lease.grant())?.[0] ?? first;
    case STOPPING:
      return [...daemons].find(([, { instance, stoppedAt }]) => (
        instance && stoppedAt !== undefined))?.[0] ?? first;
    case BUSIEST: {
      const [busiest] = [...engines.values()].map(({ engine }) => engine)
        .sort((left, right) => right.running.length - left.running.length);
      return busiest!.options.name;
    }
    default: return name;
  }
}
