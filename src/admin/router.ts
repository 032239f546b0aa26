/**
 * The administration API: one tRPC procedure for each query or action of an administrator. Changes
 * to the configuration go through the publisher; everything else shows this instance's own state.
 */
import { initTRPC, TRPCError } from '@trpc/server';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { Publisher } from '../configuration/publisher.js';
import type { StoreError } from '../store/objects.js';
import type { Administration } from './administration.js';

const MAX_FILES = 1_000;
const MAX_NAME_CHARACTERS = 128;

export interface AdminContext {
  /** Name of the key that authenticated the call, for the history. */
  readonly administrator: string;
}

const t = initTRPC.context<AdminContext>().create();

const folder = z.record(z.string().max(MAX_NAME_CHARACTERS), z.string())
  .refine((files) => Object.keys(files).length <= MAX_FILES, `at most ${MAX_FILES} files`);

const changeInput = {
  who: z.string().min(1).max(MAX_NAME_CHARACTERS),
  allowEmpty: z.boolean().optional(),
};

function valueOrThrow<Value>(result: Result<Value, StoreError>): Value {
  if (result.isOk()) return result.value;
  throw new TRPCError({ code: 'SERVICE_UNAVAILABLE', message: result.error.message });
}

/** Author of a change: the key's name, then the name that the operator gave. */
function author(context: AdminContext, who: string): string {
  return `${context.administrator}/${who}`;
}

function configurationRouter(publisher: Publisher) {
  return t.router({
    applyFolder: t.procedure
      .input(z.object({ ...changeInput, folder, base: z.int().min(0) }))
      .mutation(({ input, ctx }) => publisher.apply(input.folder, {
        who: author(ctx, input.who), base: input.base, allowEmpty: input.allowEmpty ?? false,
      })),
    put: t.procedure
      .input(z.object({
        ...changeInput, file: z.string(), text: z.string(), base: z.int().min(0).optional(),
      }))
      .mutation(({ input, ctx }) => publisher.put(input.file, input.text, {
        who: author(ctx, input.who),
        ...(input.base === undefined ? {} : { base: input.base }),
      })),
    remove: t.procedure
      .input(z.object({ ...changeInput, file: z.string(), base: z.int().min(0).optional() }))
      .mutation(({ input, ctx }) => publisher.remove(input.file, {
        who: author(ctx, input.who),
        allowEmpty: input.allowEmpty ?? false,
        ...(input.base === undefined ? {} : { base: input.base }),
      })),
    pull: t.procedure.query(async () => valueOrThrow(await publisher.pull())),
    history: t.procedure.query(async () => valueOrThrow(await publisher.history())),
    diff: t.procedure.input(z.object({ folder }))
      .query(async ({ input }) => valueOrThrow(await publisher.diff(input.folder))),
    outcome: t.procedure.input(z.object({ writeId: z.string() }))
      .query(async ({ input }) => valueOrThrow(await publisher.outcomeOf(input.writeId))),
  });
}

export function adminRouter(administration: Administration, publisher: Publisher) {
  return t.router({
    configuration: configurationRouter(publisher),
    status: t.procedure.query(() => administration.status()),
    instances: t.procedure.query(() => administration.members()),
    engines: t.procedure.query(() => administration.engines()),
    lease: t.procedure.query(() => administration.lease()),
    queues: t.procedure.query(() => administration.queues()),
    workspaces: t.procedure.query(() => administration.workspaces()),
    why: t.procedure.input(z.object({ request: z.string().max(MAX_NAME_CHARACTERS) }))
      .query(({ input }) => administration.why(input.request)),
    drain: t.procedure.mutation(() => {
      administration.drain();
      return administration.status();
    }),
    undrain: t.procedure.mutation(() => {
      administration.undrain();
      return administration.status();
    }),
  });
}

export type AdminRouter = ReturnType<typeof adminRouter>;
