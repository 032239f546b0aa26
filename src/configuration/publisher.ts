/**
 * Applies operators' changes to the stored folder. Each change is one conditional update, so a
 * concurrent change is either merged or reported as a conflict, never overwritten. If the answer to
 * an update is lost, reading back the write id tells whether it was applied.
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
  changesBetween, digestsAt, digestsOf, encodeStored, containsWrite, EMPTY_FOLDER, parseStored,
  OBJECT_NAME,
} from './stored.js';
import type {
  FileChange, HistoryEntry, StoredFolder,
} from './stored.js';

/** Time limit of one change, including its retries after concurrent changes. */
const TIMEOUT_MS = 10_000;

export interface PublisherContext {
  readonly api: ObjectApi;
  readonly scheduler: SchedulerLike;
  readonly random: Random;
  /** Milliseconds since 1970, for the history. */
  readonly wallClock: () => number;
}

export interface Edit {
  /** The author of the change, for the history. */
  readonly who: string;
  /** The revision that the edit is based on; the current one if missing. */
  readonly base?: number;
  /** Allows a change that leaves the folder empty. */
  readonly allowEmpty?: boolean;
}

/**
 * The result of a change. `accepted` and `unchanged` give the revision that contains it.
 * `unavailable`: the change was not applied and won't be. `unsettled`: it is unknown whether the
 * change was applied; `outcomeOf` with the write id tells it later.
 */
export type Publication =
  | {
    readonly kind: 'accepted';
    readonly revision: number;
    /** Files that others have changed since the base; their version is kept. */
    readonly taken: readonly string[];
    /** Only warnings. */
    readonly findings: readonly Finding[];
  }
  | { readonly kind: 'unchanged'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly conflicts: readonly Conflict[] }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] }
  | { readonly kind: 'empty' }
  | { readonly kind: 'no_such_file'; readonly file: string }
  /** The history doesn't go back to the base, or the base never existed. */
  | { readonly kind: 'base_unknown'; readonly base: number; readonly current: number }
  | { readonly kind: 'too_large'; readonly bytes: number }
  | { readonly kind: 'unavailable'; readonly error: StoreError }
  | { readonly kind: 'unsettled'; readonly writeId: string; readonly error: StoreError };

/** The stored folder with the precondition and the revision of the next update. */
interface Snapshot {
  readonly stored: StoredFolder;
  readonly expected: Precondition;
  readonly nextRevision: number;
}

/** Makes the operator's folder from the stored files. */
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

  /** Stores `folder`, merged with the changes that others have made since the edit's base. */
  apply(folder: Folder, edit: Edit & { readonly base: number }): Promise<Publication> {
    return this.#publish(() => folder, edit);
  }

  /** Adds or replaces one file. */
  put(file: string, text: string, edit: Edit): Promise<Publication> {
    return this.#publish((files) => ({ ...files, [file]: text }), edit, file);
  }

  /** Removes one file; the values that it overrode take effect again. */
  async remove(file: string, edit: Edit): Promise<Publication> {
    const snapshot = await this.#read();
    if (snapshot.isErr()) return { kind: 'unavailable', error: snapshot.error };
    const { stored } = snapshot.value;
    if (!Object.hasOwn(stored.files, file)) return { kind: 'no_such_file', file };
    const removeFile = (files: Folder) => (
      Object.fromEntries(Object.entries(files).filter(([name]) => name !== file)));
    return this.#publish(removeFile, { ...edit, base: edit.base ?? stored.revision }, file);
  }

  /** The stored folder with its revision and history. */
  async pull(): Promise<Result<StoredFolder, StoreError>> {
    return (await this.#read()).map(({ stored }) => stored);
  }

  /** The kept history of the stored folder, the latest change first. */
  async history(): Promise<Result<readonly HistoryEntry[], StoreError>> {
    return (await this.pull()).map(({ history }) => history);
  }

  /** The changes from the stored folder to `folder`, without a merge. */
  async diff(folder: Folder): Promise<Result<readonly FileChange[], StoreError>> {
    return (await this.pull())
      .map(({ files }) => changesBetween(digestsOf(files), digestsOf(folder)));
  }

  /** The change with this write id; undefined if it isn't in the history. */
  async outcomeOf(writeId: string): Promise<Result<HistoryEntry | undefined, StoreError>> {
    return (await this.history())
      .map((entries) => entries.find((entry) => entry.writeId === writeId));
  }

  async #publish(change: Change, edit: Edit, onlyFile?: string): Promise<Publication> {
    const deadline = this.#context.scheduler.now() + TIMEOUT_MS;
    let { base } = edit;
    /* eslint-disable no-await-in-loop -- each attempt starts from the latest stored folder */
    for (;;) {
      const snapshot = await this.#read();
      if (snapshot.isErr()) return { kind: 'unavailable', error: snapshot.error };
      base ??= snapshot.value.stored.revision;
      const writeId = this.#context.random.identifier();
      const planned = this.#plan(change, { ...edit, base }, snapshot.value, writeId, onlyFile);
      if (planned.isErr()) return planned.error;
      const { value, publication } = planned.value;
      const settlement = await settledPut(this.#context, {
        name: OBJECT_NAME,
        value,
        expected: snapshot.value.expected,
        callClass: 'configuration',
        appearsIn: (text) => containsWrite(text, writeId),
      }, deadline);
      switch (settlement.kind) {
        case 'applied': return publication;
        case 'refused': return { kind: 'unavailable', error: settlement.error };
        case 'unsettled': return { kind: 'unsettled', writeId, error: settlement.error };
        case 'superseded':
          if (this.#context.scheduler.now() >= deadline) {
            const message = 'concurrent changes to the folder prevented the update';
            return { kind: 'unavailable', error: { code: 'conflict', message } };
          }
      }
    }
    /* eslint-enable no-await-in-loop */
  }

  /** The value to write, or the result of a change that needs no write or is rejected. */
  #plan(
    change: Change,
    edit: Edit & { readonly base: number },
    { stored, nextRevision }: Snapshot,
    writeId: string,
    onlyFile: string | undefined,
  ): Result<Plan, Publication> {
    const base = digestsAt(stored, edit.base);
    if (!base) return err({ kind: 'base_unknown', base: edit.base, current: stored.revision });
    const edited = change(stored.files);
    // For an edit of one file, the base of the other files is their stored state, so that they
    // stay as they are.
    const mergeBase = onlyFile === undefined
      ? base
      : new Map([...digestsOf(stored.files)].filter(([name]) => name !== onlyFile)
        .concat([...base].filter(([name]) => name === onlyFile)));
    const { files, taken, conflicts } = mergeFolders(mergeBase, edited, stored);
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

  async #read(): Promise<Result<Snapshot, StoreError>> {
    const read = await this.#context.api.get(OBJECT_NAME, 'configuration');
    if (read.isErr()) {
      return read.error.code === 'not_found' ? this.#readAbsent() : err(read.error);
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
   * Without a stored object, the next revision is derived from the store's version, which never
   * decreases. So it is higher than any revision accepted before a deletion of the object.
   */
  async #readAbsent(): Promise<Result<Snapshot, StoreError>> {
    const listing = await this.#context.api.list(OBJECT_NAME, 'configuration');
    return listing.andThen(({ version }) => ok({
      stored: EMPTY_FOLDER, expected: { kind: 'absent' } as const, nextRevision: version + 1,
    }));
  }
}
