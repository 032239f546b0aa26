/**
 * The daemon `shallotshuntd`:
 *
 *     shallotshuntd --settings FILE
 *     shallotshuntd --demo
 *
 * SIGTERM and SIGINT stop it gracefully; repeated signals have no effect. Exit codes: 0 stopped
 * after every answer was completed, 1 answers were cut off at the stop limit, 2 invalid command
 * line or settings.
 */
import { randomInt } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { formatFinding } from '../common/finding.js';
import { ConsoleLog } from '../common/log.js';
import { endProcess } from '../common/processend.js';
import { MAX_SEED, Random } from '../common/random.js';
import { Daemon } from './daemon.js';
import { readSettings } from './settings.js';
import type { Settings } from './settings.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
const USAGE = 'usage: shallotshuntd --settings FILE | --demo';
const EXIT_INVALID = 2;
const EXIT_CUT_OFF = 1;

function runDaemon(settings: Settings): void {
  const log = ConsoleLog.of(settings.log_level, { instance: settings.name });
  const daemon = Daemon.of(settings, Random.of(randomInt(MAX_SEED)), log);
  const running = daemon.run.subscribe();
  log.event('info', 'started', { zone: settings.zone, callers: settings.listen.callers });
  daemon.instance.drain.exit.subscribe((whole) => {
    log.event('info', 'stopped', { whole });
    running.unsubscribe();
    endProcess(log, whole ? 0 : EXIT_CUT_OFF);
  });
  STOP_SIGNALS.forEach((signal) => process.on(signal, () => daemon.instance.leave()));
  // An error that no supervisor caught must not end the process, which would cut off open answers.
  process.on('uncaughtException', (error) => {
    log.event('error', 'uncaught', { reason: error.stack ?? error.message });
  });
  process.on('unhandledRejection', (reason) => {
    log.event('error', 'unhandled', { reason: String(reason) });
  });
}

function fail(...lines: readonly string[]): void {
  process.stderr.write(`${lines.join('\n')}\n`);
  process.exitCode = EXIT_INVALID;
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

function startWithSettings(file: string): void {
  let contents: string;
  try {
    contents = readFileSync(file, 'utf8');
  } catch (error) {
    fail(`the settings can't be read: ${messageOf(error)}`);
    return;
  }
  const { settings, findings } = readSettings(file, contents);
  if (settings) runDaemon(settings);
  else fail(...findings.map(formatFinding));
}

async function main(): Promise<void> {
  let values;
  try {
    ({ values } = parseArgs({
      options: { demo: { type: 'boolean' }, settings: { type: 'string' } },
    }));
  } catch (error) {
    fail(messageOf(error), USAGE);
    return;
  }
  if (values.demo) {
    const { runDemo } = await import('./demo.js');
    await runDemo();
  } else if (values.settings === undefined) fail(USAGE);
  else startWithSettings(values.settings);
}

await main();
