/**
 * The object API's stand-in as a program of its own, for several daemons on one machine:
 *
 *     tsx src/standin/objectmain.ts --listen 127.0.0.1:7700
 */
import { parseArgs } from 'node:util';
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
const separator = values.listen.lastIndexOf(':');
const objects = MemoryObjects.of(monotonicScheduler, Random.of(Number(values.seed)));
const server = await ObjectServer.listen(
  objects,
  monotonicScheduler,
  values.listen.slice(0, separator),
  Number(values.listen.slice(separator + 1)),
);
ConsoleLog.of('info').event('info', 'objects_listening', { address: server.address });
