/** Simulated operators, who change the stored configuration concurrently. */
import { Publisher } from '../../src/configuration/publisher.js';
import type { Publication } from '../../src/configuration/publisher.js';
import { parseStored, OBJECT_NAME } from '../../src/configuration/stored.js';
import { objectLink } from './links.js';
import type { World } from './world.js';
import { fileOf, containsEdit, textOf } from './worldconfiguration.js';
import type { Edit } from './worldconfiguration.js';

export const OPERATORS = ['operator-0', 'operator-1'] as const;

export class Operators {
  readonly #world: World;

  /** Author names of the changes that were reported as not accepted. */
  readonly #refused = new Set<string>();

  private constructor(world: World) {
    this.#world = world;
  }

  static of(world: World): Operators {
    return new Operators(world);
  }

  /** Stores the initial configuration folder. */
  begin(text: string): void {
    this.#publisher(OPERATORS[0]).put('base.toml', text, { who: 'setup' })
      .catch((error: unknown) => this.#world.oracle.report(String(error)));
  }

  /** Puts or removes one file of the stored folder as `operator`. */
  edit(operator: string, edit: Edit): void {
    const { network, oracle, revisions } = this.#world;
    const file = fileOf(edit);
    const text = textOf(edit);
    const settled = revisions.change(file, (configuration) => containsEdit(edit, configuration));
    if (edit.kind === 'drain') oracle.serverReturned(edit.engine);
    const publisher = this.#publisher(operator);
    const who = this.#world.uniqueName(operator);
    const { clock } = network.node(operator);
    clock.run(clock.epoch, () => {
      const published = text === undefined
        ? publisher.remove(file, { who })
        : publisher.put(file, text, { who });
      published.then((publication) => this.#published(publication, edit, who, settled))
        .catch((error: unknown) => oracle.report(String(error)));
    });
  }

  /** Checks that no change is stored that was reported as not accepted. */
  async checkRefused(): Promise<void> {
    const stored = await this.#world.objects.get(OBJECT_NAME, 'status');
    const history = stored.andThen(({ value }) => parseStored(value))
      .map((folder) => folder.history).unwrapOr([]);
    history.filter(({ who }) => this.#refused.has(who)).forEach(({ revision }) => (
      this.#world.oracle.report(`${revision} is stored and was said not to be accepted`)));
  }

  #publisher(operator: string): Publisher {
    const { network, objects, random } = this.#world;
    const links = { network, random, daemon: operator };
    const { clock } = network.node(operator);
    return Publisher.of({
      api: objectLink(links, objects),
      scheduler: clock,
      random,
      wallClock: clock.wall,
    });
  }

  #published(
    publication: Publication,
    edit: Edit,
    who: string,
    settled: (revision: number | undefined) => void,
  ): void {
    switch (publication.kind) {
      case 'accepted':
      case 'unchanged':
        settled(publication.revision);
        if (edit.kind === 'drain' && edit.drained) this.#world.oracle.serverLeaving(edit.engine);
        break;
      // The change may still be written, so the file's content is unknown from here on.
      case 'unsettled': break;
      case 'conflict':
      case 'invalid':
      case 'empty':
      case 'no_such_file':
      case 'base_unknown':
      case 'too_large':
      case 'unavailable':
        this.#refused.add(who);
        settled(undefined);
        break;
    }
  }
}
