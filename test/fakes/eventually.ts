/** Polls conditions in real time, so that a busy machine makes tests slower but not fail. */
const POLL_INTERVAL_MS = 5;
const TIMEOUT_MS = 20_000;

/** Resolves to true as soon as `check` does, or to false after a long timeout. */
export async function eventually(check: () => boolean | Promise<boolean>): Promise<boolean> {
  const deadline = performance.now() + TIMEOUT_MS;
  while (performance.now() < deadline) {
    // eslint-disable-next-line no-await-in-loop -- one poll after another
    if (await check()) return true;
    // eslint-disable-next-line no-await-in-loop -- a pause between two polls
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
  }
  return false;
}
