/**
 * Changes the stored folder for operators. Every change is one conditional update, so of operators
 * who race each either builds on the other's change or is told of it. A lost answer is settled by
 * reading back the write id.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { SchedulerLike } from 'rxjs';
import { hasErrors } from '../common/finding.js';
import type { Finding } from '../common/finding.js';
import type { Random } from '../common/random.js';
import type { Precondition, ObjectApi, StoreError } from '../store/objects.js';
import { settledPut } from '../store/settle.js';
import { checkFolder } from './check.js';
import type { Folder } from './check.js';
import { mergeFolders } from './foldermerge.js';
import type { Conflict } from './foldermerge.js';
import {
  changesBetween, digestsAt, digestsOf, encodeStored, holdsWrite, NOTHING_STORED, parseStored,
  STORED_NAME,
} from './stored.js';
import type {
  FileChange, HistoryEntry, StoredFolder,
} from './stored.js';

/** Longest time that one change takes, races with others included. */
const DEADLINE_MS = 10_000;

export interface PublisherContext {
  readonly api: ObjectApi;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  /** Milliseconds since 1970, for the history. */
  readonly wallClock: () => number;
}

export interface Edit {
  /** Who makes the change, for the history. */
  readonly who: string;
  /** The revision that the edit was made from; the current one when left out. */
  readonly base?: number;
  /** Allows a change that leaves no file at all. */
  readonly allowEmpty?: boolean;
}

/**
 * How a change ended. `accepted` and `unchanged` name the revision that holds it. `unavailable`: it
 * is not accepted and will not be. `unsettled`: whether it is accepted can be found out later by
 * its write id, with `outcomeOf`.
 */
export type Publication =
  | {
    readonly kind: 'accepted';
    readonly revision: number;
    /** Files that others changed since the base and that are kept as they are. */
    readonly taken: readonly string[];
    /** Warnings. */
    readonly findings: readonly Finding[];
  }
  | { readonly kind: 'unchanged'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly conflicts: readonly Conflict[] }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] }
  | { readonly kind: 'empty' }
  | { readonly kind: 'no_such_file'; readonly file: string }
  /** The history does not go back to the base, or the base is not known at all. */
  | { readonly kind: 'base_unknown'; readonly base: number; readonly current: number }
  | { readonly kind: 'too_large'; readonly bytes: number }
  | { readonly kind: 'unavailable'; readonly error: StoreError }
  | { readonly kind: 'unsettled'; readonly writeId: string; readonly error: StoreError };

/** The stored folder and what the next conditional update has to expect. */
interface Reading {
  readonly stored: StoredFolder;
  readonly expected: Precondition;
  readonly nextRevision: number;
}

/** Makes the operator's folder from the files that the edit was made from. */
type Change = (files: Folder) => Folder;

interface Plan { readonly value: string; readonly publication: Publication }

export class Publisher {
  readonly #context: PublisherContext;

  private constructor(context: PublisherContext) {
    this.#context = context;
  }

  static of(context: PublisherContext): Publisher {
    return new Publisher(context);
  }

  /** Makes `folder` the stored one, merged with what others changed since the edit's base. */
  apply(folder: Folder, edit: Edit & { readonly base: number }): Promise<Publication> {
    return this.#publish(() => folder, edit);
  }

  /** Adds or replaces one file. */
  put(file: string, text: string, edit: Edit): Promise<Publication> {
    return this.#publish((files) => ({ ...files, [file]: text }), edit, file);
  }

  /** Removes one file, which uncovers what it hid. */
  async remove(file: string, edit: Edit): Promise<Publication> {
    const reading = await this.#read();
    if (reading.isErr()) return { kind: 'unavailable', error: reading.error };
    const { stored } = reading.value;
    if (!Object.hasOwn(stored.files, file)) return { kind: 'no_such_file', file };
    const without = (files: Folder) => (
      Object.fromEntries(Object.entries(files).filter(([name]) => name !== file)));
    return this.#publish(without, { ...edit, base: edit.base ?? stored.revision }, file);
  }

  /** The stored folder with its revision and history. */
  async pull(): Promise<Result<StoredFolder, StoreError>> {
    return (await this.#read()).map(({ stored }) => stored);
  }

  /** The changes of the stored folder that are kept, the latest first. */
  async history(): Promise<Result<readonly HistoryEntry[], StoreError>> {
    return (await this.pull()).map(({ history }) => history);
  }

  /** What applying `folder` would change if nobody else had changed anything. */
  async diff(folder: Folder): Promise<Result<readonly FileChange[], StoreError>> {
    return (await this.pull())
      .map(({ files }) => changesBetween(digestsOf(files), digestsOf(folder)));
  }

  /** The change with this write id, undefined when the history does not have it. */
  async outcomeOf(writeId: string): Promise<Result<HistoryEntry | undefined, StoreError>> {
    return (await this.history())
      .map((entries) => entries.find((entry) => entry.writeId === writeId));
  }

  async #publish(change: Change, edit: Edit, only?: string): Promise<Publication> {
    const until = this.#context.scheduler.now() + DEADLINE_MS;
    let { base } = edit;
    /* eslint-disable no-await-in-loop -- each round builds on the change that came first */
    for (;;) {
      const reading = await this.#read();
      if (reading.isErr()) return { kind: 'unavailable', error: reading.error };
      base ??= reading.value.stored.revision;
      const writeId = this.#context.random.identifier();
      const planned = this.#plan(change, { ...edit, base }, reading.value, writeId, only);
      if (planned.isErr()) return planned.error;
      const { value, publication } = planned.value;
      const settlement = await settledPut(this.#context, {
        name: STORED_NAME,
        value,
        expected: reading.value.expected,
        callClass: 'configuration',
        appearsIn: (text) => holdsWrite(text, writeId),
      }, until);
      switch (settlement.kind) {
        case 'applied': return publication;
        case 'refused': return { kind: 'unavailable', error: settlement.error };
        case 'unsettled': return { kind: 'unsettled', writeId, error: settlement.error };
        case 'superseded':
          if (this.#context.scheduler.now() >= until) {
            const message = 'others kept changing the folder';
            return { kind: 'unavailable', error: { code: 'conflict', message } };
          }
      }
    }
    /* eslint-enable no-await-in-loop */
  }

  /** What to write, or why nothing is to be written. */
  #plan(
    change: Change,
    edit: Edit & { readonly base: number },
    { stored, nextRevision }: Reading,
    writeId: string,
    only: string | undefined,
  ): Result<Plan, Publication> {
    const base = digestsAt(stored, edit.base);
    if (!base) return err({ kind: 'base_unknown', base: edit.base, current: stored.revision });
    const mine = change(stored.files);
    // An edit of one file leaves the others as they are, whatever the base had.
    const from = only === undefined
      ? base
      : new Map([...digestsOf(stored.files)].filter(([name]) => name !== only)
        .concat([...base].filter(([name]) => name === only)));
    const { files, taken, conflicts } = mergeFolders(from, mine, stored);
    if (conflicts.length > 0) return err({ kind: 'conflict', conflicts });
    const changes = changesBetween(digestsOf(stored.files), digestsOf(files));
    if (changes.length === 0) return err({ kind: 'unchanged', revision: stored.revision });
    if (Object.keys(files).length === 0 && !edit.allowEmpty) return err({ kind: 'empty' });
    const { findings } = checkFolder(files, nextRevision);
    if (hasErrors(findings)) return err({ kind: 'invalid', findings });
    const entry: HistoryEntry = {
      revision: nextRevision,
      writeId,
      who: edit.who,
      at: new Date(this.#context.wallClock()).toISOString(),
      changes: [...changes],
    };
    const history = [entry, ...stored.history];
    return encodeStored({ revision: nextRevision, files, history })
      .map((value): Plan => ({
        value,
        publication: {
          kind: 'accepted', revision: nextRevision, taken, findings,
        },
      }))
      .mapErr((bytes): Publication => ({ kind: 'too_large', bytes }));
  }

  async #read(): Promise<Result<Reading, StoreError>> {
    const read = await this.#context.api.get(STORED_NAME, 'configuration');
    if (read.isErr()) {
      return read.error.code === 'not_found' ? this.#readNothing() : err(read.error);
    }
    const { version, value } = read.value;
    return parseStored(value)
      .map((stored) => ({
        stored,
        expected: { kind: 'version', version } as const,
        nextRevision: stored.revision + 1,
      }))
      .mapErr((reason): StoreError => ({
        code: 'unavailable', message: `the stored configuration can't be read: ${reason}`,
      }));
  }

  /**
   * The first revision follows the store's own version, which never goes back. So it is higher than
   * any revision that was accepted before the object was deleted, should that have happened.
   */
  async #readNothing(): Promise<Result<Reading, StoreError>> {
    const listing = await this.#context.api.list(STORED_NAME, 'configuration');
    return listing.andThen(({ version }) => ok({
      stored: NOTHING_STORED, expected: { kind: 'absent' } as const, nextRevision: version + 1,
    }));
  }
}
