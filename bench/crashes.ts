/**
 * What evidence of crashes costs an instance: a message whose reports are all known, and the search
 * for quarantines. The first may not grow with the evidence, the second no faster than it; ends
 * with status 1 if either does.
 *
 *     npx tsx bench/crashes.ts
 */
import process from 'node:process';
import { asyncScheduler } from 'rxjs';
import type { SchedulerLike } from 'rxjs';
import { silentLog } from '../src/common/log.js';
import { Random } from '../src/common/random.js';
import { monotonicScheduler } from '../src/common/time.js';
import type { CrashReport } from '../src/relay/crashnews.js';
import { Quarantines } from '../src/relay/quarantine.js';

const SIZES = [2, 8, 32, 128];
const REQUESTS = 12;
const REPORTS = 5;
const MESSAGES = 200;
/** Beside the sizes' ratio, for what memory and caches add. */
const SLACK = 3;

/** How the requests of crashes share prompt parts, from none to all of them. */
const SHARING: Readonly<Record<string, (crash: number, index: number) => string>> = {
  'own parts': (crash, index) => `part-${crash}-${index}`,
  'some parts': (crash, index) => `part-${(crash * REQUESTS + index) % 40}`,
  'one part': () => 'part',
};

function reportsOf(
  crashes: number,
  partOf: (crash: number, index: number) => string,
): readonly CrashReport[] {
  const requests = Array.from({ length: REQUESTS }, (_, index) => index);
  return Array.from({ length: crashes }, (_, crash) => ({
    server: `server-${crash}`,
    ageMs: 1_000 + (crashes - crash) * 400,
    aliveAgeMs: 1_050 + (crashes - crash) * 400,
    started: true,
    previous: [],
    parts: requests.map((index) => ({
      subject: partOf(crash, index), answerAgeMs: undefined,
    })),
    requests: requests.map((index) => ({
      subject: `body-${(crash + index) % 20}/prompt-${index}`, answerAgeMs: undefined,
    })),
  }));
}

function quarantinesAt(now: () => number): Quarantines {
  const scheduler: SchedulerLike = {
    now, schedule: (asyncScheduler as SchedulerLike).schedule.bind(asyncScheduler),
  };
  return Quarantines.of({
    scheduler,
    random: Random.of(1),
    log: silentLog,
    crashCheck: { hasCrashed: () => Promise.resolve(false) },
    horizon: { delayMs: 0 },
    onUrgentChange: () => undefined,
  });
}

interface Cost { readonly adoptMs: number; readonly messageMs: number }

function measure(size: number, partOf: (crash: number, index: number) => string): Cost {
  const reports = reportsOf(size, partOf);
  // The first run is not yet compiled.
  const costs = [1, 2, 3].map((): Cost => {
    let at = 600_000;
    const found = quarantinesAt(() => at);
    const begun = monotonicScheduler.now();
    found.adopt(reports);
    const count = found.found.length;
    const adopted = monotonicScheduler.now();
    for (let message = 0; message < MESSAGES; message += 1) {
      at += 1;
      // Reports take some time on their way; each shows the crashes to be a little earlier.
      const ageMs = message * 1.2;
      found.adopt(reports.slice(0, REPORTS).map((report) => ({
        ...report, ageMs: report.ageMs + ageMs, aliveAgeMs: report.aliveAgeMs! + ageMs,
      })));
      if (found.found.length !== count) throw new Error('quarantines changed');
    }
    const messageMs = (monotonicScheduler.now() - adopted) / MESSAGES;
    return { adoptMs: adopted - begun, messageMs };
  });
  return costs.at(-1)!;
}

const isBounded = Object.entries(SHARING).map(([name, partOf]) => {
  const costs = SIZES.map((size) => ({ size, ...measure(size, partOf) }));
  costs.forEach(({ size, adoptMs, messageMs }) => {
    process.stdout.write(`${name}, ${size} crashes of ${REQUESTS} requests: `
      + `adopted at once in ${adoptMs.toFixed(2)} ms, `
      + `a message of ${Math.min(size, REPORTS)} known reports in ${messageMs.toFixed(3)} ms\n`);
  });
  const [, small, , large] = costs;
  const isConstant = large!.messageMs <= SLACK * small!.messageMs;
  const isLinear = large!.adoptMs <= SLACK * (large!.size / small!.size) * small!.adoptMs;
  process.stdout.write(`${name}: a known message ${isConstant ? 'costs the same' : 'GROWS'}, `
    + `the search ${isLinear ? 'grows with the evidence' : 'GROWS FASTER'}\n`);
  return isConstant && isLinear;
}).every(Boolean);
process.exitCode = isBounded ? 0 : 1;
