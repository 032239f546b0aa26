/** Generates the operators' reference of all settings from their schema. */
import { descriptions } from './fields.js';
import { defOf, FOLDER, unwrap } from './schema.js';
import type { Schema } from './schema.js';

const INTRODUCTION = `# Configuration

<!-- Written by scripts/configuration-page.mjs: change the schema, not this page. -->

The configuration is a folder of TOML files. They are merged in the order of their names: a key in
a later file overrides the same key in an earlier one, and lists are replaced whole. Removing a file
uncovers what it hid. File names are letters, digits, dots, hyphens and underscores, ending in
\`.toml\`.

Durations are strings such as \`"250ms"\`, \`"5s"\`, \`"2m"\` or \`"1h"\`, sizes are strings
such as \`"64KiB"\` or \`"40GiB"\`, and the keys of rates name their unit. The command
\`shallotshunt check DIR\` reports everything that is wrong at once, each with file, line, column
and key.

Findings are errors or warnings. A folder with errors is not accepted. Warnings point at a key that
two files set to the same value, a table that replaces a value, a pool without backend servers and a
model that no pool may hold.
`;

const EXAMPLE = `## Example

\`\`\`toml
[deployment]
name = "lisbon"
favour = "latency"
zones = ["lis-a", "lis-b", "lis-c"]

[models.listing]
version = "2026-11"
max_tokens = 8000

[pools.listing]
models = ["listing"]

[pools.stock]
kind = "service"

[servers.engine-1]
address = "10.0.1.11:8000"
zone = "lis-a"
pool = "listing"

[servers.stock-1]
address = "10.0.1.31:8080"
zone = "lis-b"
pool = "stock"

[services.stock]
pool = "stock"

[[services.stock.routes]]
path = "/price"
repeat = "safe"
priority = "interactive"
timeout = "800ms"

[[services.stock.routes]]
path = "/"

[workspaces.hotel]
key_hashes = [
  "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08",
]
weight = 3
priority = "batch"
\`\`\`
`;

function settingLine(key: string, schema: Schema): string {
  const description = descriptions.get(schema);
  if (!description) return '';
  const { doc, allowed, fallback } = description;
  const defaultText = fallback === undefined ? 'Must be given.' : `Default: \`${fallback}\`.`;
  return `- \`${key}\`: ${doc} Value: ${allowed}. ${defaultText}\n`;
}

function tableSections(heading: string, schema: Schema): readonly string[] {
  const def = defOf(unwrap(schema));
  if (def.type === 'record') return tableSections(`${heading}.NAME`, def.valueType);
  if (def.type === 'array') return tableSections(`[${heading}]`, def.element);
  if (def.type !== 'object') return [];
  const fields = Object.entries(def.shape);
  const isSetting = (field: Schema) => descriptions.has(field);
  const lines = fields.filter(([, field]) => isSetting(field))
    .map(([key, field]) => settingLine(key, field));
  const doc = descriptions.get(unwrap(schema))?.doc ?? '';
  const nested = fields.filter(([, field]) => !isSetting(field))
    .flatMap(([key, field]) => tableSections(`${heading}.${key}`, field));
  return [`## \`[${heading}]\`\n\n${doc}\n\n${lines.join('')}`, ...nested];
}

/** The whole page as Markdown. */
export function configurationPage(): string {
  const sections = Object.entries(FOLDER.shape)
    .flatMap(([key, schema]) => tableSections(key, schema));
  return [INTRODUCTION, ...sections, EXAMPLE].join('\n');
}

/** The example on the page, as the text of a configuration file. */
export const EXAMPLE_FILE = EXAMPLE.slice(
  EXAMPLE.indexOf('[deployment]'),
  EXAMPLE.lastIndexOf('```'),
);
