/** Waits on real sockets for what a test checks, so that a busy machine only makes it slower. */
const POLL_INTERVAL_MS = 5;
const TIMEOUT_MS = 20_000;

/** Resolves with true as soon as `check` holds, with false when it has not for a long time. */
export async function eventually(check: () => boolean | Promise<boolean>): Promise<boolean> {
  const deadline = performance.now() + TIMEOUT_MS;
  while (performance.now() < deadline) {
    // eslint-disable-next-line no-await-in-loop -- each look follows the one before
    if (await check()) return true;
    // eslint-disable-next-line no-await-in-loop -- a pause between two looks
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
  }
  return false;
}
