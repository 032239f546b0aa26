/** The published completions API: request bodies as callers send them, and the JSON of answers. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { Refusal } from '../common/refusal.js';
import type { Model, Workspace } from '../configuration/configuration.js';
import type { FinishReason, Input } from '../engines/engine.js';
import type { GenerationRequest } from '../generation/request.js';

export type Form = 'completion' | 'chat';

const MAX_SEED = 0x7fff_ffff;
const MAX_STOPS = 4;

const common = {
  model: z.string().min(1),
  max_tokens: z.int().min(1).optional(),
  max_completion_tokens: z.int().min(1).optional(),
  seed: z.int().min(0).max(MAX_SEED).optional(),
  temperature: z.number().min(0).max(2).optional(),
  stop: z.union([z.string(), z.array(z.string()).max(MAX_STOPS)]).nullish(),
  stream: z.boolean().optional(),
  n: z.literal(1).optional(),
  adapter: z.string().optional(),
  priority: z.enum(['interactive', 'standard', 'batch']).optional(),
};

const completionBody = z.object({ ...common, prompt: z.string() });

const chatBody = z.object({
  ...common,
  messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
});

type Body = z.infer<typeof completionBody> | z.infer<typeof chatBody>;

export interface ParsedBody { readonly body: Body; readonly stream: boolean }

function badRequest(message: string): Refusal {
  return { code: 'bad_request', message, ran: 'no' };
}

/** Checks a request body; a refusal names every key that is wrong. */
export function parseBody(form: Form, text: string): Result<ParsedBody, Refusal> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    return err(badRequest(`the body is not JSON: ${String(error)}`));
  }
  const parsed = (form === 'chat' ? chatBody : completionBody).safeParse(json);
  if (!parsed.success) {
    const findings = parsed.error.issues
      .map(({ path, message }) => `${path.join('.') || 'body'}: ${message}`);
    return err(badRequest(findings.join('; ')));
  }
  return ok({ body: parsed.data, stream: parsed.data.stream ?? false });
}

function inputOf(body: Body): Input {
  return 'messages' in body
    ? { kind: 'chat', messages: body.messages }
    : { kind: 'prompt', text: body.prompt };
}

function stopsOf({ stop }: Body): readonly string[] {
  if (stop === null || stop === undefined) return [];
  return typeof stop === 'string' ? [stop] : stop;
}

export interface RequestContext {
  readonly id: string;
  readonly seed: number;
  readonly workspace: Workspace;
  readonly model: Model;
  readonly idempotencyKey: string | undefined;
}

/** The generation that a checked body asks for. */
export function requestOf(body: Body, context: RequestContext): GenerationRequest {
  const { workspace, model } = context;
  const asked = body.max_completion_tokens ?? body.max_tokens ?? model.maxTokens;
  return {
    id: context.id,
    workspace: workspace.name,
    model: model.name,
    adapter: body.adapter,
    input: inputOf(body),
    sampling: {
      seed: body.seed ?? context.seed,
      temperature: body.temperature ?? 1,
      maxTokens: Math.min(asked, model.maxTokens),
      stop: stopsOf(body),
    },
    priority: body.priority ?? model.priority,
    repeat: model.repeat,
    idempotencyKey: context.idempotencyKey,
  };
}

function choice(form: Form, text: string, finish: FinishReason | null, streamed: boolean): object {
  const base = { index: 0, finish_reason: finish };
  if (form === 'completion') return { ...base, text };
  const message = text === '' && streamed ? {} : { role: 'assistant', content: text };
  return streamed ? { ...base, delta: message } : { ...base, message };
}

export interface AnswerHead {
  readonly form: Form;
  readonly id: string;
  readonly model: string;
}

/** The JSON of one streamed piece of an answer. */
export function chunkJson(head: AnswerHead, text: string, finish: FinishReason | null): string {
  const object = head.form === 'chat' ? 'chat.completion.chunk' : 'text_completion';
  return JSON.stringify({
    id: head.id, object, model: head.model, choices: [choice(head.form, text, finish, true)],
  });
}

/** The JSON of a whole answer. */
export function wholeJson(
  head: AnswerHead,
  text: string,
  finish: FinishReason,
  tokens: number,
): string {
  const object = head.form === 'chat' ? 'chat.completion' : 'text_completion';
  return JSON.stringify({
    id: head.id,
    object,
    model: head.model,
    choices: [choice(head.form, text, finish, false)],
    usage: { completion_tokens: tokens },
  });
}
