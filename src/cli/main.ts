/** The command-line tool `shallotshunt`. */
import { runTool } from './run.js';

process.exitCode = await runTool(process.argv.slice(2), {
  out: process.stdout, errors: process.stderr, environment: process.env, input: process.stdin,
});
