/**
 * The way of a request through the daemon, below HTTP: admission, then a run whose answer is
 * streamed. Tests drive daemons through this class.
 */
import { Observable, of } from 'rxjs';
import type { Configuration, Workspace } from '../configuration/configuration.js';
import { sha256 } from '../common/hash.js';
import { generate } from '../generation/run.js';
import type { GenerationContext } from '../generation/run.js';
import type { AnswerEvent, GenerationRequest } from '../generation/request.js';

export interface GatewayContext extends GenerationContext {
  readonly configuration: () => Configuration;
}

export class Gateway {
  readonly #context: GatewayContext;

  private constructor(context: GatewayContext) {
    this.#context = context;
  }

  static of(context: GatewayContext): Gateway {
    return new Gateway(context);
  }

  get configuration(): Configuration {
    return this.#context.configuration();
  }

  /** The workspace that a bearer key belongs to. */
  workspace(key: string): Workspace | undefined {
    const hash = sha256(key);
    return Object.values(this.configuration.workspaces)
      .find(({ keyHashes }) => keyHashes.includes(hash));
  }

  /** Admits the request and streams its answer; unsubscribing cancels it. */
  generate(request: GenerationRequest): Observable<AnswerEvent> {
    return new Observable((subscriber) => {
      const admitted = this.#context.dispatcher.admit(request.workspace, request.priority);
      if (admitted.isErr()) {
        return of<AnswerEvent>({ kind: 'refusal', refusal: admitted.error }).subscribe(subscriber);
      }
      const answer = generate(request, this.#context).subscribe(subscriber);
      return () => {
        answer.unsubscribe();
        admitted.value.release();
      };
    });
  }
}
