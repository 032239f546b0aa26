// Writes docs/CONFIGURATION.md from the settings' schema: npx tsx scripts/configuration-page.mjs
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { configurationPage } from '../src/configuration/page.ts';

writeFileSync(join(import.meta.dirname, '../docs/CONFIGURATION.md'), configurationPage());
