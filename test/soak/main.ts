/** Plays seeded runs: `npm run soak -- --seed N --runs M --jobs J`; exits with 1 on findings. */
import { parseArgs } from 'node:util';
import { Scenario } from './scenario.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '1' },
    jobs: { type: 'string', default: '1' },
  },
});

const first = Number(values.seed);
const end = first + Number(values.runs);
let next = first;

async function work(): Promise<void> {
  while (next < end) {
    const seed = next;
    next += 1;
    // eslint-disable-next-line no-await-in-loop -- each job plays one run after another
    const { findings, ...counts } = await Scenario.run(seed);
    process.stdout.write(`${JSON.stringify({ ...counts, findings: findings.length })}\n`);
    findings.forEach((finding) => process.stdout.write(`${finding}\n`));
    if (findings.length > 0) process.exitCode = 1;
  }
}

await Promise.all(Array.from({ length: Number(values.jobs) }, () => work()));
