// Runs a case: writes its record, and exits with 1 if the rule was broken, 0 if it held, 2 if the
// case couldn't run.
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout } from 'node:timers';
import { now } from './base.mjs';
import { Deployment } from './deployment.mjs';

const LIMIT_MS = 115_000;

/** Whether the disruption is to take place. */
export const isTroubled = process.env.TROUBLE !== '0';

/**
 * @param folder where `record.txt` is written
 * @param options of the deployment
 * @param play gets the deployment and `note`, which adds a line to the record; resolves to
 * `{ broken, verdict }`
 */
export async function runCase(folder, options, play) {
  const lines = [];
  const startedAt = now();
  const note = (line) => {
    const seconds = ((now() - startedAt) / 1_000).toFixed(3);
    lines.push(`${seconds.padStart(8)} s  ${line}`);
  };
  let deployment;
  const finish = (code, verdict) => {
    note(verdict);
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    console.log(verdict);
    deployment?.close();
    process.exit(code);
  };
  setTimeout(() => finish(2, 'could not run: the case took too long'), LIMIT_MS).unref();
  try {
    deployment = await Deployment.start(options);
    if (!await deployment.untilReady()) {
      finish(2, 'could not run: not all processes became ready');
      return;
    }
    note(`ready; trouble: ${isTroubled ? 'yes' : 'no'}`);
    const { broken, verdict } = await play(deployment, note);
    finish(broken ? 1 : 0, verdict);
  } catch (error) {
    finish(2, `could not run: ${error.stack ?? error}`);
  }
}
