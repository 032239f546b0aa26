/** The software version of one stream: a stream with events continues only where that runs. */
import type { Call } from './call.js';
import { releaseOf } from './release.js';
import type { Release } from './release.js';
import type { ServerEntry } from './serverentry.js';
import type { StreamOrigins } from './streamorigins.js';

export class StreamRelease {
  readonly #call: Call;

  readonly #origins: StreamOrigins;

  /** Undefined until an event of the stream is known. */
  #software: string | undefined;

  private constructor(call: Call, origins: StreamOrigins) {
    this.#call = call;
    this.#origins = origins;
  }

  static of(call: Call, origins: StreamOrigins): StreamRelease {
    return new StreamRelease(call, origins);
  }

  /** Whether instances contradict each other about the version, or its engine was restarted. */
  get isAmbiguous(): boolean {
    if (this.#software === undefined) return false;
    const { id, fields: { resumes = id } } = this.#call;
    return this.#origins.origin(resumes)?.kind === 'ambiguous';
  }

  /** Called with the version at which a stream began that the caller takes up. */
  takeUp(software: string): void {
    this.#software = software;
  }

  /** Called for each event, with the engine that wrote it. */
  markWritten(server: ServerEntry): void {
    if (this.#software !== undefined) return;
    this.#software = releaseOf(server).software;
    this.#origins.record(this.#call.id, this.#software, server.id);
  }

  /** @param weights version of the weights of earlier attempts; undefined if there were none */
  required(weights: string | undefined): Release | undefined {
    if (this.#software === undefined) return undefined;
    return { software: this.#origins.version(this.#software), weights };
  }
}
