/** What the scripts of all cases share: the record, the configuration, and how a script ends. */
import { appendFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
/** A script that takes longer could not run its case. */
const LIMIT_MS = 110_000;

export const KEY = 'key-of-one';

export const sleep = (ms) => new Promise((resolve) => {
  setTimeout(resolve, ms);
});

export const withTrouble = process.env.TROUBLE !== '0';

/** Writes to the record of a case, with the time since its start. */
export class Record {
  #file;

  #startedAt = performance.now();

  constructor(folder) {
    this.#file = join(folder, 'record.txt');
    writeFileSync(this.#file, `disruption: ${withTrouble ? 'yes' : 'no'}\n`);
  }

  note(text) {
    const at = ((performance.now() - this.#startedAt) / 1_000).toFixed(3).padStart(7);
    appendFileSync(this.#file, `${at} s  ${text}\n`);
  }
}

export function route(name, prefix, kind, service, more = {}) {
  return {
    Name: name,
    Hostname: 'review.example',
    PathPrefix: prefix,
    Kind: kind,
    TimeoutMs: 25_000,
    TargetLatencyMs: 4_500,
    Priority: 1,
    Service: service,
    MaxAttempts: 5,
    Public: false,
    ...more,
  };
}

export function configuration(routes, services) {
  return {
    Version: 7,
    Routes: routes,
    Services: services,
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{ Name: 'one', ApiKeys: [KEY], Priority: 1 }],
  };
}

export const ENGINE = {
  Slots: 16,
  KvCapacity: 88_000,
  KvTokenBytes: 18_432,
  LinkMbps: 88_000,
  Moves: true,
  Backups: true,
  HandleS: 4,
  Models: [{ Name: 'm' }],
};

/**
 * Runs a case and exits with its result.
 *
 * @param play resolves to whether the rule held; throws if the case could not run
 * @param end ends all that was started
 */
export async function run(record, play, end) {
  let code = NOT_RUN;
  ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((signal) => process.once(signal, () => {
    record.note(`ended by ${signal}`);
    end();
    process.exit(NOT_RUN);
  }));
  const limit = setTimeout(() => {
    record.note('the case took too long');
    end();
    process.exit(NOT_RUN);
  }, LIMIT_MS);
  try {
    code = await play() ? HELD : BROKEN;
    record.note(code === HELD ? 'the rule held' : 'the rule was broken');
  } catch (error) {
    record.note(`the case could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  end();
  console.log(['held', 'broken', 'could not run'][code]);
  process.exit(code);
}
