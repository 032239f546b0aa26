/** Names of roles that fuzzing steps can use in place of a process's name. */
import type { World } from './world.js';

/** The engine that runs the most generations. */
export const BUSIEST = 'busiest';
/** A daemon that holds the placement lease. */
export const HOLDER = 'holder';
/** A daemon that is being stopped. */
export const STOPPING = 'stopping';

/** The process that `name` denotes now; the first daemon if none has that role. */
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
