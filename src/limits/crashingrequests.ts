/**
 * Refuses requests that crash backend servers (queries of death). A request that is lost with a
 * server before its answer counts against it once the server is found to have crashed. Instances
 * tell each other the crashes that they have seen.
 */
import type { SchedulerLike } from 'rxjs';
import { sha256 } from '../common/hash.js';
import type { Log } from '../common/log.js';
import type { Refusal } from '../common/refusal.js';
import {
  EVIDENCE_MS, NO_EVIDENCE, withAnswer, withCrash, withoutExpired,
} from './crashevidence.js';
import type { Crash, CrashEvidence, Fingerprint } from './crashevidence.js';
import { requestQuarantines } from './requestquarantine.js';

/** Maximum number of own crashes that the other instances are told. */
const MAX_PUBLISHED = 16;
/** As many hexadecimal digits as make collisions impossible to find. */
const FINGERPRINT_LENGTH = 24;

/** A crash as instances tell it; it counts from when it was learnt. */
export interface ReportedCrash {
  /** Unique among the crashes of all instances. */
  readonly id: string;
  readonly requests: readonly Fingerprint[];
}

export interface CrashingRequestsContext {
  readonly scheduler: SchedulerLike;
  readonly log: Log;
  /** Names this instance in the ids of its crashes. */
  readonly instance?: string;
  /** Tells the other instances the crashes that this one has seen lately. */
  readonly publish?: (crashes: readonly ReportedCrash[]) => void;
}

/** Identifies a request that is sent again, by all that makes it the same. */
export function requestFingerprint(...identity: readonly unknown[]): Fingerprint {
  return sha256(JSON.stringify(identity)).slice(0, FINGERPRINT_LENGTH);
}

function crashOf({ id, requests }: ReportedCrash, at: number): Crash {
  return {
    server: id, at, aliveAt: -Infinity, started: false, parts: [], requests, previous: [],
  };
}

export class CrashingRequests {
  readonly #context: CrashingRequestsContext;

  #evidence: CrashEvidence = NO_EVIDENCE;

  #own: readonly { readonly crash: Crash; readonly report: ReportedCrash }[] = [];

  #count = 0;

  private constructor(context: CrashingRequestsContext) {
    this.#context = context;
  }

  static of(context: CrashingRequestsContext): CrashingRequests {
    return new CrashingRequests(context);
  }

  /** Whether any request may have to be refused. */
  get hasEvidence(): boolean {
    return this.#evidence.crashes.length > 0;
  }

  /** Why a request may not be sent to a server; undefined if it may. */
  refusal(request: Fingerprint): Refusal | undefined {
    const now = this.#now();
    this.#evidence = withoutExpired(this.#evidence, now);
    const found = requestQuarantines(this.#evidence)
      .find((quarantine) => quarantine.request === request);
    return found && {
      code: 'query_of_death',
      message: `${found.crashes.length} servers crashed on this request`,
      ran: 'no',
      retryAfterMs: Math.max(0, Math.ceil(found.until - now)),
    };
  }

  /**
   * Records that a request was lost with a server before its answer.
   * @param hasCrashed whether the server is found to be down or to have started again
   */
  recordLost(server: string, request: Fingerprint, hasCrashed: Promise<boolean>): void {
    const at = this.#now();
    const { log } = this.#context;
    hasCrashed.then((crashed) => {
      if (crashed) this.#addOwn(server, request, at);
    }, (error: unknown) => {
      log.event('error', 'crash_check_failed', { server, reason: String(error) });
    });
  }

  /** Records an answer to a request, or its first token. */
  recordAnswer(request: Fingerprint): void {
    this.#evidence = withAnswer(this.#evidence, request, this.#now());
  }

  /** Adds crashes that another instance has told of, at the time at which they were learnt. */
  adopt(crashes: readonly ReportedCrash[], learnedAt: number): void {
    const known = new Set(this.#evidence.crashes.map(({ server }) => server));
    crashes.filter(({ id }) => !known.has(id))
      .forEach((report) => this.#add(crashOf(report, learnedAt)));
  }

  #addOwn(server: string, request: Fingerprint, at: number): void {
    const { instance = '', publish, log } = this.#context;
    this.#count += 1;
    const report = { id: `${server}/${instance}/${this.#count}`, requests: [request] };
    const crash = crashOf(report, at);
    log.event('info', 'crash_recorded', { server, fingerprint: request });
    this.#add(crash);
    const isRecent = (other: Crash) => other.at > this.#now() - EVIDENCE_MS;
    this.#own = [...this.#own.filter((other) => isRecent(other.crash)), { crash, report }]
      .slice(-MAX_PUBLISHED);
    publish?.(this.#own.map((other) => other.report));
  }

  #add(crash: Crash): void {
    const before = requestQuarantines(this.#evidence).map(({ request }) => request);
    this.#evidence = withCrash(this.#evidence, crash, this.#now());
    requestQuarantines(this.#evidence).filter(({ request }) => !before.includes(request))
      .forEach(({ request, crashes, until }) => {
        this.#context.log.event('warn', 'request_quarantined', {
          request_fingerprint: request,
          crashes: crashes.length,
          for_ms: Math.round(until - this.#now()),
        });
      });
  }

  #now(): number {
    return this.#context.scheduler.now();
  }
}
