/** The daemon `shallotshuntd`. */
import { parseArgs } from 'node:util';
import { DEMO_KEY, startDemo } from './demo.js';

const DEMO_PORT = 8080;

const { values } = parseArgs({ options: { demo: { type: 'boolean' } } });

if (values.demo) {
  const demo = await startDemo(DEMO_PORT);
  const body = '{"model":"listing","prompt":"List the ovens","max_tokens":60,"stream":true}';
  process.stdout.write([
    'A demonstration deployment with stand-in engines runs in this process.',
    `callers: http://${demo.address}`,
    `curl -N http://${demo.address}/v1/completions \\`,
    `  -H 'Authorization: Bearer ${DEMO_KEY}' -d '${body}'`,
    '',
  ].join('\n'));
}
