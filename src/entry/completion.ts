/** Validates request bodies of the public completions API and converts them to generations. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { MAX_SEED } from '../common/random.js';
import type { Refusal } from '../common/refusal.js';
import type { Model, Workspace } from '../configuration/configuration.js';
import type { Input } from '../engines/engine.js';
import type { GenerationRequest } from '../generation/request.js';

export type Endpoint = 'completion' | 'chat';

const MAX_STOPS = 4;
const MAX_STOP_CHARACTERS = 256;
const MAX_MESSAGES = 4_096;
const MAX_NAME_CHARACTERS = 256;
const MAX_REPORTED_ISSUES = 16;

const nameSchema = z.string().min(1).max(MAX_NAME_CHARACTERS);
const stopSchema = z.string().min(1).max(MAX_STOP_CHARACTERS);

/** Unsupported options, accepted only with the value that has no effect on the answer. */
const neutralOptions = {
  n: z.literal(1).nullish(),
  best_of: z.literal(1).nullish(),
  top_p: z.literal(1).nullish(),
  presence_penalty: z.literal(0).nullish(),
  frequency_penalty: z.literal(0).nullish(),
  echo: z.literal(false).nullish(),
  logprobs: z.literal(false).nullish(),
  suffix: z.literal('').nullish(),
  logit_bias: z.object({}).strict().nullish(),
  tools: z.array(z.unknown()).max(0).nullish(),
  functions: z.array(z.unknown()).max(0).nullish(),
  response_format: z.object({ type: z.literal('text') }).nullish(),
};

const commonOptions = {
  ...neutralOptions,
  model: nameSchema,
  max_tokens: z.int().min(1).nullish(),
  max_completion_tokens: z.int().min(1).nullish(),
  seed: z.int().min(0).max(MAX_SEED).nullish(),
  temperature: z.number().min(0).max(2).nullish(),
  stop: z.union([stopSchema, z.array(stopSchema).max(MAX_STOPS)]).nullish(),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
  adapter: nameSchema.nullish(),
  priority: z.enum(['interactive', 'standard', 'batch']).nullish(),
  /** The part of the answer's text that a returning caller already has. */
  resume_text: z.string().nullish(),
};

const completionBody = z.object({
  ...commonOptions,
  prompt: z.union([z.string(), z.array(z.string()).length(1).transform(([text]) => text ?? '')]),
});

const textParts = z.array(z.object({ type: z.literal('text'), text: z.string() })).min(1)
  .transform((parts) => parts.map(({ text }) => text).join(''));

const chatBody = z.object({
  ...commonOptions,
  messages: z.array(z.object({
    role: z.enum(['system', 'developer', 'user', 'assistant']),
    content: z.union([z.string(), textParts]),
  })).min(1).max(MAX_MESSAGES),
});

type RequestBody = z.infer<typeof completionBody> | z.infer<typeof chatBody>;

export interface ParsedBody {
  readonly body: RequestBody;
  readonly stream: boolean;
  /** Whether a streamed answer ends with a usage chunk. */
  readonly includeUsage: boolean;
}

function badRequest(message: string): Refusal {
  return { code: 'bad_request', message, ran: 'no' };
}

/** Validates a request body; the refusal lists the invalid keys. */
export function parseBody(endpoint: Endpoint, text: string): Result<ParsedBody, Refusal> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (error) {
    return err(badRequest(`the body is not JSON: ${String(error)}`));
  }
  const parsed = (endpoint === 'chat' ? chatBody : completionBody).safeParse(json);
  if (!parsed.success) {
    const issues = parsed.error.issues.slice(0, MAX_REPORTED_ISSUES)
      .map(({ path, message }) => `${path.join('.') || 'body'}: ${message}`);
    return err(badRequest(issues.join('; ')));
  }
  const body = parsed.data;
  return ok({
    body,
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
  });
}

function inputOf(body: RequestBody): Input {
  return 'messages' in body
    ? { kind: 'chat', messages: body.messages }
    : { kind: 'prompt', text: body.prompt };
}

function stopsOf({ stop: stops }: RequestBody): readonly string[] {
  if (stops === null || stops === undefined) return [];
  return typeof stops === 'string' ? [stops] : stops;
}

export interface RequestContext {
  readonly id: string;
  readonly seed: number;
  readonly workspace: Workspace;
  readonly model: Model;
  readonly idempotencyKey: string | undefined;
  readonly bodyHash: string;
}

/** The generation that a validated body requests. */
export function requestOf(body: RequestBody, context: RequestContext): GenerationRequest {
  const { workspace, model } = context;
  const requestedTokens = body.max_completion_tokens ?? body.max_tokens ?? model.maxTokens;
  return {
    id: context.id,
    workspace: workspace.name,
    model: model.name,
    adapter: body.adapter ?? undefined,
    input: inputOf(body),
    sampling: {
      seed: body.seed ?? context.seed,
      temperature: body.temperature ?? 1,
      maxTokens: Math.min(requestedTokens, model.maxTokens),
      stop: stopsOf(body),
    },
    priority: body.priority ?? model.priority,
    repeat: model.repeat,
    idempotencyKey: context.idempotencyKey,
    bodyHash: context.bodyHash,
  };
}

/** The requested model, if it exists, the workspace may use it and it has the adapter. */
export function findModel(
  body: RequestBody,
  workspace: Workspace,
  models: Readonly<Record<string, Model>>,
): Result<Model, Refusal> {
  const model = Object.hasOwn(models, body.model) ? models[body.model] : undefined;
  const allowed = workspace.models.length === 0 || workspace.models.includes(body.model);
  if (!model || !allowed) {
    return err({ code: 'not_found', message: `no such model: ${body.model}`, ran: 'no' });
  }
  const { adapter } = body;
  if (adapter && !model.adapters.includes(adapter)) {
    return err({ code: 'not_found', message: `no such adapter: ${adapter}`, ran: 'no' });
  }
  return ok(model);
}
