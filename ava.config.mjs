export default {
  files: ['test/**/*.test.ts', '!test/alone/**'],
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx'],
  timeout: '120s',
  workerThreads: false,
};
