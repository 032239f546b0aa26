/** Notices whether a generation crashes the engines that it is given to, soon after it starts. */
import type { Refusal } from '../common/refusal.js';
import type { EngineView } from '../engines/directory.js';
import type { AttemptFailure, EngineClient } from '../engines/engine.js';
import { requestFingerprint } from '../limits/crashingrequests.js';
import type { CrashingRequests } from '../limits/crashingrequests.js';
import { SoundRun } from '../limits/soundrun.js';
import type { GenerationRequest } from './request.js';

/** Deadline of the load report that tells whether an engine still runs. */
const CHECK_DEADLINE_MS = 200;

interface WatchedEngine {
  readonly name: string;
  readonly client: EngineClient;
  /** Undefined until the engine has reported it. */
  incarnation: string | undefined;
  readonly run: SoundRun;
}

/** Whether the connection ended, and not just went silent. */
function isBroken({ cause, ran }: AttemptFailure): boolean {
  return ran !== 'no' && ['reset', 'ended_early', 'restarted'].includes(cause);
}

async function hasCrashed({ client, incarnation }: WatchedEngine): Promise<boolean> {
  try {
    const report = await client.load(CHECK_DEADLINE_MS);
    return incarnation !== undefined && report.incarnation !== incarnation;
  } catch {
    return true;
  }
}

export class CrashWatch {
  readonly #crashes: CrashingRequests | undefined;

  readonly #fingerprint: string;

  readonly #engines = new Map<number, WatchedEngine>();

  private constructor(request: GenerationRequest, crashes: CrashingRequests | undefined) {
    const {
      workspace, model, adapter, input, sampling: { temperature, maxTokens, stop },
    } = request;
    this.#crashes = crashes;
    // The seed is left out: it may be drawn anew each time the request is sent.
    this.#fingerprint = crashes
      ? requestFingerprint('generation', workspace, model, adapter, input, {
        temperature, maxTokens, stop,
      })
      : '';
  }

  static of(request: GenerationRequest, crashes: CrashingRequests | undefined): CrashWatch {
    return new CrashWatch(request, crashes);
  }

  /** Why the generation may not be given to an engine; undefined if it may. */
  get refusal(): Refusal | undefined {
    return this.#crashes?.refusal(this.#fingerprint);
  }

  dispatched(attempt: number, { server, client, report }: EngineView): void {
    this.#engines.set(attempt, {
      name: server.name,
      client,
      incarnation: report?.incarnation,
      run: SoundRun.of(),
    });
  }

  opened(attempt: number, incarnation: string): void {
    const engine = this.#engines.get(attempt);
    if (engine) engine.incarnation = incarnation;
  }

  failed(attempt: number, failure: AttemptFailure): void {
    const engine = this.#engines.get(attempt);
    if (!this.#crashes || !engine || engine.run.isSound || !isBroken(failure)) return;
    this.#crashes.recordLost(engine.name, this.#fingerprint, hasCrashed(engine));
  }

  /** An attempt has another token. */
  progressed(attempt: number, now: number): void {
    if (this.#engines.get(attempt)?.run.record(now)) this.finished();
  }

  /** The generation is sound: it has run for some time, or to its end. */
  finished(): void {
    this.#crashes?.recordAnswer(this.#fingerprint);
  }
}
