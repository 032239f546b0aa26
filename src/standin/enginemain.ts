/**
 * Runs a stand-in engine as a process:
 *
 *     tsx src/standin/enginemain.ts --listen 127.0.0.1:7800 --step-ms 2 --model listing@1
 *
 * It logs its address once it listens. `GET /control/work` returns the work done and the running
 * generations.
 */
import type { AddressInfo } from 'node:net';
import { parseArgs } from 'node:util';
import { parseHostPort } from '../common/address.js';
import { ConsoleLog } from '../common/log.js';
import { Random } from '../common/random.js';
import { monotonicScheduler } from '../common/time.js';
import { StandInEngine } from './engine.js';
import { engineServer } from './engineserver.js';

const { values } = parseArgs({
  options: {
    listen: { type: 'string', default: '127.0.0.1:0' },
    name: { type: 'string', default: 'engine' },
    'step-ms': { type: 'string', default: '2' },
    slots: { type: 'string', default: '64' },
    model: { type: 'string', multiple: true, default: ['listing@1'] },
    variant: { type: 'string', default: '0' },
  },
});

const models = values.model.map((name) => {
  const [model = '', version = ''] = name.split('@');
  return { model, version, adapters: [] };
});
const engine = StandInEngine.of({
  name: values.name,
  stepMs: Number(values['step-ms']),
  slots: Number(values.slots),
  variant: Number(values.variant),
  models,
}, monotonicScheduler, Random.of(process.pid).identifier());
const { host, port: listenPort } = parseHostPort(values.listen);
const server = engineServer(engine);
server.listen(listenPort, host, () => {
  const { port } = server.address() as AddressInfo;
  ConsoleLog.of('info').event('info', 'engine_listening', { address: `${host}:${port}` });
});
