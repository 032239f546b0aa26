// Bundles the programs, so that a daemon loads only what it uses. What is imported when it is
// needed, such as the demonstration, is a file of its own. With `--platform` the relaying daemon is
// built for the users' platform, under `target/` or in the folder that `--outdir` names.
import { parseArgs } from 'node:util';
import { build } from 'esbuild';

const { values: options } = parseArgs({
  options: { platform: { type: 'boolean' }, outdir: { type: 'string' } },
});

const REQUIRE = `import { createRequire } from 'node:module';
const require = createRequire(import.meta.url);`;

// The schema library's messages in other languages take memory and are never shown.
const englishMessages = {
  name: 'english-messages',
  setup({ onLoad }) {
    onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({
      contents: 'export { default as en } from "./en.js";', loader: 'js',
    }));
  },
};

const OWN = {
  entryPoints: { shallotshuntd: 'src/daemon/main.ts', shallotshunt: 'src/cli/main.ts' },
  outdir: 'dist',
};
const PLATFORM = {
  entryPoints: { shallotshuntd: 'platform/main.ts' }, outdir: options.outdir ?? 'target',
};

await build({
  ...(options.platform ? PLATFORM : OWN),
  outExtension: { '.js': '.mjs' },
  bundle: true,
  splitting: true,
  // Names stay as they are, so that stack traces can be read.
  minifyWhitespace: true,
  minifySyntax: true,
  plugins: [englishMessages],
  platform: 'node',
  target: 'node20',
  format: 'esm',
  sourcemap: true,
  logLevel: 'warning',
  // Bundled CommonJS libraries ask for Node's own modules through `require`.
  banner: { js: REQUIRE },
});
