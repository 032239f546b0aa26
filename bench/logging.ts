/**
 * What a log line costs: processor time of lines as a busy relay writes them, through the log and
 * with a write call for each. Run it with standard output on the file or pipe to measure.
 */
import { writeSync } from 'node:fs';
import { ConsoleLog, formatEvent } from '../src/common/log.js';

const LINES = 200_000;
const BURST = 100;
const STDOUT = 1;
const MICROSECONDS_PER_MILLISECOND = 1_000;

const FIELDS = {
  instance: 'front-a-1',
  request: '9c41d07be2a35f68',
  service: 'writers',
  server: 'i-d9807ec04e',
  zone: 'zone-a',
  copy: false,
  standby: 'i-bc88c2bc7f',
  running: 3,
  reading_tokens: 8_200,
  memory_tokens: 38_022,
  expected_ms: 2_217,
  configuration: 12,
  attempt: 1,
  held_tokens: 0,
  candidates: 13,
  from: 0,
  left_ms: 24_996,
};

function busyMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

/** Processor time of a line, in microseconds; lines come in bursts. */
async function cost(line: () => void): Promise<number> {
  const from = busyMs();
  for (let written = 0; written < LINES; written += 1) {
    line();
    if (written % BURST === 0) {
      // eslint-disable-next-line no-await-in-loop -- lets what was written go out
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }
  return ((busyMs() - from) * MICROSECONDS_PER_MILLISECOND) / LINES;
}

const log = ConsoleLog.of('info');
const logged = await cost(() => log.event('info', 'route', FIELDS));
let refused = 0;
const direct = await cost(() => {
  try {
    writeSync(STDOUT, `time=${new Date().toISOString()} ${formatEvent('route', FIELDS)}\n`);
  } catch {
    refused += 1;
  }
});
process.stderr.write(
  `a line of ${formatEvent('route', FIELDS).length} characters: ${logged.toFixed(1)} us through the`
  + ` log (${log.droppedLines} left out of ${LINES}), ${direct.toFixed(1)} us with a write for each`
  + ` (${refused} refused)\n`,
);
