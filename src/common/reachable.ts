/** Whether something listens at an address. */
import { parseHostPort } from './address.js';
import { openConnection } from './outgoing.js';
import { afterPendingInput, monotonicScheduler } from './time.js';

/** Whether an address, `host:port`, accepts a connection within `timeoutMs`. */
export function accepts(address: string, timeoutMs: number): Promise<boolean> {
  return new Promise((resolve) => {
    const opened = openConnection(parseHostPort(address));
    if (opened.isErr()) {
      resolve(false);
      return;
    }
    const socket = opened.value;
    const settle = (accepted: boolean) => {
      deadline.unsubscribe(); // eslint-disable-line @typescript-eslint/no-use-before-define
      socket.destroy();
      resolve(accepted);
    };
    const deadline = afterPendingInput(timeoutMs, monotonicScheduler, () => settle(false));
    socket.once('connect', () => settle(true));
    socket.once('error', () => settle(false));
  });
}
