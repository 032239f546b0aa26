/**
 * Runs the stand-in of the object API as a process, for several daemons on one machine:
 *
 *     tsx src/standin/objectmain.ts --listen 127.0.0.1:7700
 */
import { parseArgs } from 'node:util';
import { parseHostPort } from '../common/address.js';
import { ConsoleLog } from '../common/log.js';
import { Random } from '../common/random.js';
import { monotonicScheduler } from '../common/time.js';
import { MemoryObjects } from './objects.js';
import { ObjectServer } from './objectserver.js';

const { values } = parseArgs({
  options: {
    listen: { type: 'string', default: '127.0.0.1:7700' },
    seed: { type: 'string', default: '1' },
  },
});
const { host, port } = parseHostPort(values.listen);
const objects = MemoryObjects.of(monotonicScheduler, Random.of(Number(values.seed)));
const server = await ObjectServer.listen(
  objects,
  monotonicScheduler,
  host,
  port,
);
ConsoleLog.of('info').event('info', 'objects_listening', { address: server.address });
