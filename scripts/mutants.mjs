// Plants faults, one at a time, into a scratch copy of the sources outside the repository and runs
// the fuzzing on each, to show that it finds them:
//
//     node scripts/mutants.mjs [--runs N] [--seeds N] [--only WORD] [--from N] [--to N]
//
// Prints a table with the number of seeds that found each fault and the sequences it took.
import { spawnSync } from 'node:child_process';
import {
  cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { MUTANTS } from './mutants/list.mjs';

const { values } = parseArgs({
  options: {
    runs: { type: 'string', default: '300' },
    seeds: { type: 'string', default: '3' },
    only: { type: 'string', default: '' },
    from: { type: 'string', default: '0' },
    to: { type: 'string', default: '100' },
  },
});

function scratchCopy() {
  const directory = mkdtempSync(join(tmpdir(), 'mutant-'));
  ['src', 'test', 'package.json', 'tsconfig.json']
    .forEach((name) => cpSync(name, join(directory, name), { recursive: true }));
  symlinkSync(resolve('node_modules'), join(directory, 'node_modules'));
  return directory;
}

function plant(directory, { file, from, to }) {
  const path = join(directory, file);
  const source = readFileSync(path, 'utf8');
  if (!source.includes(from)) throw new Error(`${file} no longer has: ${from}`);
  writeFileSync(path, source.replace(from, () => to));
}

// The number of sequences run until the fault was found, and what was seen, or undefined.
function hunt(directory, seed) {
  const { stdout, stderr } = spawnSync(
    'node',
    ['--import=tsx', 'test/fuzz/main.ts', '--quick', '--runs', values.runs, '--seed', String(seed)],
    { cwd: directory, encoding: 'utf8' },
  );
  const verdict = /^(\d+) sequences .*: (.*)$/m.exec(stdout);
  if (!verdict) throw new Error(`the fuzzing ended without a verdict: ${stderr.slice(0, 2_000)}`);
  const seen = /^Error: (.*)$/m.exec(stdout)?.[1] ?? '';
  return verdict[2] === 'every promise held' ? undefined : { runs: Number(verdict[1]), seen };
}

const seeds = Array.from({ length: Number(values.seeds) }, (_, index) => index + 1);
console.log(`| planted fault | found by seeds | sequences until found | first seen as |
| --- | --- | --- | --- |`);
let missed = 0;
MUTANTS.slice(Number(values.from), Number(values.to))
  .filter(({ name }) => name.includes(values.only)).forEach(({ name, edits }) => {
    const directory = scratchCopy();
    try {
      edits.forEach((edit) => plant(directory, edit));
      const hunts = seeds.map((seed) => hunt(directory, seed)).filter(Boolean);
      if (hunts.length === 0) missed += 1;
      const seen = (hunts[0]?.seen ?? '').split(';')[0];
      const runs = hunts.map((found) => found.runs).join(', ') || '-';
      console.log(`| ${name} | ${hunts.length} of ${seeds.length} | ${runs} | ${seen} |`);
    } finally {
      rmSync(directory, { recursive: true, force: true });
    }
  });
process.exit(missed === 0 ? 0 : 1);
