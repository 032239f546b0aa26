// Tests that measure a process, which run one at a time after all others.
import config from './ava.config.mjs';

export default {
  ...config, files: ['test/alone/**/*.test.ts'], concurrency: 1, serial: true,
};
