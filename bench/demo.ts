/**
 * Shows a failover: streams an answer from the demonstration deployment, kills the engine that
 * makes it in mid-output, and checks that the answer goes on with every token once.
 */
import { request } from 'node:http';
import { DEMO_KEY, startDemo } from '../src/daemon/demo.js';
import { firstInvalidToken, tokensOf } from '../src/standin/tokens.js';

const TOKENS = 60;
const KILL_AFTER = 20;
const DEMO_PORT = 18_080;
const BODY = {
  model: 'listing', prompt: 'List the ovens', max_tokens: TOKENS, seed: 7, stream: true,
};

const demo = await startDemo(DEMO_PORT);
await new Promise((resolve) => {
  setTimeout(resolve, 300);
});

let answer = '';
let killed = false;

function killBusyEngine(): void {
  const busy = demo.engines.find(({ engine }) => engine.work.streamSteps > 0);
  if (!busy || killed) return;
  killed = true;
  process.stdout.write(`\n--- ${busy.engine.options.name} dies ---\n`);
  busy.server.close();
  busy.server.closeAllConnections();
  busy.engine.crash('next');
}

function take(line: string): void {
  if (!line.startsWith('data: {')) return;
  const { choices: [choice] } = JSON.parse(line.slice('data: '.length)) as {
    choices: { text: string }[];
  };
  answer += choice?.text ?? '';
  process.stdout.write(choice?.text ?? '');
  if (tokensOf(answer).length === KILL_AFTER) killBusyEngine();
}

const [host, port] = demo.addresses.callers.split(':');
await new Promise<void>((resolve, reject) => {
  const req = request({
    host,
    port,
    method: 'POST',
    path: '/v1/completions',
    headers: { authorization: `Bearer ${DEMO_KEY}` },
  }, (res) => {
    let rest = '';
    res.setEncoding('utf8');
    res.on('data', (chunk: string) => {
      const lines = (rest + chunk).split('\n');
      rest = lines.pop() ?? '';
      lines.forEach(take);
    });
    res.on('end', resolve);
  });
  req.on('error', reject);
  req.end(JSON.stringify(BODY));
});
await demo.stop();

const bad = firstInvalidToken({
  model: BODY.model,
  version: '1',
  adapter: undefined,
  input: { kind: 'prompt', text: BODY.prompt },
  sampling: {
    seed: BODY.seed, temperature: 1, maxTokens: TOKENS, stop: [],
  },
}, answer);
const whole = bad === -1 && tokensOf(answer).length === TOKENS;
process.stdout.write(`\n${tokensOf(answer).length} tokens, each once: ${whole ? 'yes' : 'no'}\n`);
process.exit(whole ? 0 : 1);
