// Reads the test runner's TAP output and prints CI's closing line, `N passed, N failed`. A failing
// test that KNOWN-RED.txt names is printed and passed over; every other failure fails the run.
import { existsSync, readFileSync } from 'node:fs';

const [outFile, runnerStatus, staticFailures, knownRedFile] = process.argv.slice(2);
const lines = readFileSync(outFile, 'utf8').split('\n');
const titles = (pattern) => lines.flatMap((line) => {
  const match = pattern.exec(line.trim());
  return match ? [match[1]] : [];
});
const passed = titles(/^ok \d+ - (.*)$/);
const red = titles(/^not ok \d+ - (.*)$/).filter((title) => !/# (TODO|SKIP)/.test(title));
const skipped = passed.filter((title) => /# (TODO|SKIP)/.test(title));

const known = existsSync(knownRedFile)
  ? readFileSync(knownRedFile, 'utf8').split('\n')
    .flatMap((line) => (line.startsWith('test: ') ? [line.slice('test: '.length).trim()] : []))
  : [];
const knownRed = red.filter((title) => known.includes(title));
const failed = red.filter((title) => !known.includes(title));
knownRed.forEach((title) => console.log(`known red: ${title}`));
failed.forEach((title) => console.log(`failed: ${title}`));

// A runner that failed without a failing test has crashed or timed out.
const crashed = Number(runnerStatus) !== 0 && red.length === 0 ? 1 : 0;
if (crashed) console.log('failed: the test runner ended with an error of its own');
const failures = failed.length + Number(staticFailures) + crashed;
console.log(`${passed.length - skipped.length} passed, ${failures} failed`);
process.exit(failures > 0 || passed.length === 0 ? 1 : 0);
