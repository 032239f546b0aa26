/**
 * The daemon `shallotshuntd`:
 *
 *     shallotshuntd --settings FILE
 *     shallotshuntd --demo
 *
 * SIGTERM and SIGINT stop it gracefully; a repeated signal changes nothing.
 */
import { randomInt } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { formatFinding } from '../common/finding.js';
import { ConsoleLog } from '../common/log.js';
import { Random } from '../common/random.js';
import { Daemon } from './daemon.js';
import { readSettings } from './settings.js';
import type { Settings } from './settings.js';

const MAX_SEED = 0x7fff_ffff;
const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
const EXIT_SETTINGS = 2;
const EXIT_CUT_OFF = 1;

function runDaemon(settings: Settings): void {
  const log = ConsoleLog.of(settings.log_level, { instance: settings.name });
  const daemon = Daemon.of(settings, Random.of(randomInt(MAX_SEED)), log);
  const running = daemon.run.subscribe();
  log.event('info', 'started', { zone: settings.zone, callers: settings.listen.callers });
  daemon.instance.drain.ended.subscribe((whole) => {
    log.event('info', 'stopped', { whole });
    running.unsubscribe();
    process.exit(whole ? 0 : EXIT_CUT_OFF);
  });
  STOP_SIGNALS.forEach((signal) => process.on(signal, () => daemon.instance.leave()));
  // A failure that no supervisor has caught must not take open answers with it.
  process.on('uncaughtException', (error) => {
    log.event('error', 'uncaught', { reason: error.stack ?? error.message });
  });
  process.on('unhandledRejection', (reason) => {
    log.event('error', 'unhandled', { reason: String(reason) });
  });
}

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: { demo: { type: 'boolean' }, settings: { type: 'string' } },
  });
  if (values.demo) {
    const { runDemo } = await import('./demo.js');
    await runDemo();
    return;
  }
  if (values.settings === undefined) {
    process.stderr.write('usage: shallotshuntd --settings FILE | --demo\n');
    process.exitCode = EXIT_SETTINGS;
    return;
  }
  const { settings, findings } = readSettings(
    values.settings,
    readFileSync(values.settings, 'utf8'),
  );
  findings.forEach((finding) => process.stderr.write(`${formatFinding(finding)}\n`));
  if (settings) runDaemon(settings);
  else process.exitCode = EXIT_SETTINGS;
}

await main();
