/** Waits until every live instance works by a revision, telling the progress of each. */
import type { Member } from '../membership/instances.js';
import type { Connection } from './connection.js';
import type { Terminal } from './terminal.js';

const POLL_MS = 100;
export const WAIT_LIMIT_MS = 30_000;

function membersBehind(members: readonly Member[], revision: number): readonly Member[] {
  return members.filter((member) => member.state !== 'leaving' && member.revision < revision);
}

/** Resolves with the instances that had not got there in time, none when all had. */
export async function waitUntilInForce(
  connection: Connection,
  revision: number,
  terminal: Terminal,
  limitMs = WAIT_LIMIT_MS,
): Promise<readonly Member[]> {
  const deadline = Date.now() + limitMs;
  const reached = new Set<string>();
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- each look follows the one before
    const members = await connection.instances.query();
    const pending = membersBehind(members, revision);
    members.filter((member) => !pending.includes(member) && !reached.has(member.name))
      .forEach(({ name, revision: inForce }) => {
        reached.add(name);
        if (!terminal.json) terminal.line(`${name}: revision ${inForce} in force`);
      });
    if (pending.length === 0 || Date.now() >= deadline) return pending;
    // eslint-disable-next-line no-await-in-loop -- a pause between two looks
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
}
