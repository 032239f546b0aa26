/** Waits until a revision is in force on every live instance, and prints the progress. */
import type { Member } from '../membership/instances.js';
import type { Connection } from './connection.js';
import type { Terminal } from './terminal.js';

const POLL_MS = 100;
export const WAIT_LIMIT_MS = 30_000;

function membersBehind(members: readonly Member[], revision: number): readonly Member[] {
  return members.filter((member) => member.state !== 'leaving' && member.revision < revision);
}

/** Resolves with the instances on which it isn't in force in time; empty if there are none. */
export async function waitUntilInForce(
  connection: Connection,
  revision: number,
  terminal: Terminal,
  limitMs = WAIT_LIMIT_MS,
): Promise<readonly Member[]> {
  const deadline = Date.now() + limitMs;
  const reached = new Set<string>();
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- polls in sequence
    const members = await connection.instances.query();
    const pending = membersBehind(members, revision);
    members.filter((member) => !pending.includes(member) && !reached.has(member.name))
      .forEach(({ name, revision: inForce }) => {
        reached.add(name);
        if (!terminal.json) terminal.line(`${name}: revision ${inForce} in force`);
      });
    if (pending.length === 0 || Date.now() >= deadline) return pending;
    // eslint-disable-next-line no-await-in-loop -- polls at intervals
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
}
