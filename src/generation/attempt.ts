/** Reads one attempt's stream, and releases its server and permit when it ends. */
import { Subscription } from 'rxjs';
import type { Observable } from 'rxjs';
import type {
  PartialAnswer, AttemptRequest, EngineClient, EngineEvent,
} from '../engines/engine.js';
import { inputText } from '../engines/prefix.js';
import type { Watcher } from '../engines/watch.js';
import type { WatchedStream } from '../engines/streamwatch.js';
import type { AttemptOutcome } from '../routing/dispatcher.js';
import type { AssignedServer } from './assigner.js';
import type { GenerationRequest } from './request.js';
import type { Attempt } from './state.js';

const CHARACTERS_PER_TOKEN = 4;

export interface AttemptContext {
  readonly attempt: Attempt;
  readonly request: GenerationRequest;
  readonly accepted: PartialAnswer;
  readonly client: EngineClient;
  readonly assigned: AssignedServer | undefined;
  readonly backpressure: Observable<boolean> | undefined;
  readonly watcher: Watcher | undefined;
}

/** Receives the events of an attempt. */
export interface AttemptListener {
  event(event: EngineEvent): void;
  suspected(): void;
}

function attemptRequest({ attempt, request, accepted }: AttemptContext): AttemptRequest {
  const {
    id, model, adapter, input, sampling, priority,
  } = request;
  return {
    generation: id,
    attempt: attempt.number,
    model,
    version: attempt.version,
    adapter,
    input,
    accepted,
    sampling,
    priority,
  };
}

export class AttemptReader {
  readonly client: EngineClient;

  /** Whether the engine has opened the stream. */
  opened = false;

  readonly #assigned: AssignedServer | undefined;

  readonly #listener: AttemptListener;

  readonly #stream = new Subscription();

  #context: AttemptContext | undefined;

  #watched: WatchedStream | undefined;

  private constructor(context: AttemptContext, listener: AttemptListener) {
    this.#context = context;
    this.#assigned = context.assigned;
    this.#listener = listener;
    this.client = context.client;
  }

  static of(context: AttemptContext, listener: AttemptListener): AttemptReader {
    return new AttemptReader(context, listener);
  }

  /** Starts or joins the attempt on the engine and reads its stream. */
  start(): void {
    const context = this.#context;
    if (!context) return;
    // The accepted text is only needed to start with, so it is not kept.
    this.#context = undefined;
    const { attempt, backpressure: paused, watcher } = context;
    this.#watched = watcher?.watch(attempt.server, this.#prefillTokens(context), {
      suspected: () => this.#listener.suspected(),
      lost: (failure) => this.#listener.event(failure),
    });
    if (paused) this.#stream.add(paused.subscribe((value) => this.#watched?.setPaused(value)));
    const request = attemptRequest(context);
    const events = attempt.kind === 'begin'
      ? this.client.generate(request, paused)
      : this.client.join(request.generation, attempt.number, attempt.from, paused);
    this.#stream.add(events.subscribe({
      next: (event) => this.#next(event),
      error: (error: unknown) => this.#fail(String(error)),
      complete: () => this.#fail('stream ended without a finish'),
    }));
  }

  /** A token of the attempt was accepted into the answer. */
  progressed(): void {
    this.#watched?.progressed();
    this.#assigned?.permit?.release();
  }

  close(outcome: AttemptOutcome): void {
    this.#stream.unsubscribe();
    this.#watched?.close();
    this.#assigned?.permit?.release();
    this.#assigned?.assignment.release(outcome);
  }

  // eslint-disable-next-line class-methods-use-this
  #prefillTokens({ request, accepted }: AttemptContext): number {
    const characters = inputText(request.input).length + accepted.text.length;
    return Math.ceil(characters / CHARACTERS_PER_TOKEN);
  }

  #next(event: EngineEvent): void {
    if (event.kind === 'opened') {
      this.opened = true;
      this.#watched?.opened(event.incarnation);
    }
    this.#listener.event(event);
  }

  /** Reports that the stream failed, unless the attempt has been closed. */
  #fail(message: string): void {
    if (this.#stream.closed) return;
    this.#listener.event({
      kind: 'failed', cause: 'ended_early', ran: 'unknown', message,
    });
  }
}
