/** `npm run fuzz -- --seed N --runs M`: runs the fuzzing, or replays a run by its path. */
import { parseArgs } from 'node:util';
import { describeFailure, fuzz, coverage } from './property.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '1000' },
    path: { type: 'string' },
    replay: { type: 'string' },
    quick: { type: 'boolean', default: false },
  },
});

const startedAt = performance.now();
const details = await fuzz({
  seed: Number(values.seed),
  runs: Number(values.runs),
  quick: values.quick,
  ...(values.path === undefined ? {} : { path: values.path }),
  ...(values.replay === undefined ? {} : { replayPath: values.replay }),
});
if (details.failed) process.stdout.write(`${describeFailure(details)}\n`);
process.stdout.write(`${[...coverage].sort().map(([what, times]) => `${what}: ${times}`)
  .join('\n')}\n`);
const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
process.stdout.write(`${details.numRuns} sequences in ${seconds} s, seed ${details.seed}: ${
  details.failed ? 'a promise was broken' : 'every promise held'}\n`);
process.exit(details.failed ? 1 : 0);
