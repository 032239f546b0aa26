// Bundles the daemon and the command-line tool, each into one file, so that a daemon loads only
// what it uses.
import { build } from 'esbuild';

const REQUIRE = `import { createRequire } from 'node:module';
const require = createRequire(import.meta.url);`;

await build({
  entryPoints: { shallotshuntd: 'src/daemon/main.ts', shallotshunt: 'src/cli/main.ts' },
  outdir: 'dist',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  sourcemap: true,
  logLevel: 'warning',
  // Bundled CommonJS libraries ask for Node's own modules through `require`.
  banner: { js: REQUIRE },
});
