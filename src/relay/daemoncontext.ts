/** What a relay daemon is built from. */
import type { SchedulerLike } from 'rxjs';
import type { Log } from '../common/log.js';
import type { Random } from '../common/random.js';
import type { Platform } from './platform.js';
import type { RelaySettings } from './settings.js';

export interface RelayDaemonContext {
  readonly settings: RelaySettings;
  readonly platform: Platform;
  readonly scheduler: SchedulerLike;
  /** Times the lookups of cached prompts, which callers wait for; `scheduler` by default. */
  readonly lookupScheduler?: SchedulerLike | undefined;
  readonly random: Random;
  readonly log: Log;
  /** Log lines dropped since the start. */
  readonly droppedLogLines: () => number;
}
