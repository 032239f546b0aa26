import test from 'ava';
import type { EngineRole, LoadReport } from '../src/engines/engine.js';
import { versionFor } from '../src/placement/version.js';
import { modelOf } from './fakes/fleet.js';

function reportOf(versions: readonly string[], role: EngineRole = 'serve'): LoadReport {
  return {
    incarnation: '1',
    running: 0,
    waiting: 0,
    slots: 1,
    stepMs: 1,
    cachedTokens: 0,
    cacheCapacityTokens: 1,
    role,
    models: versions.map((version) => ({ model: 'a', version, adapters: [] })),
    loading: [],
    fence: 0,
  };
}

const CASES = [
  { what: 'no engine', reports: [], shares: '2222' },
  { what: 'only the version before', reports: [['1'], ['1']], shares: '1111' },
  { what: 'both on one engine', reports: [['1', '2']], shares: '2222' },
  { what: 'a quarter on the new one', reports: [['2'], ['1'], ['1'], ['1']], shares: '2111' },
  { what: 'the configured version everywhere', reports: [['2'], ['2']], shares: '2222' },
];

CASES.forEach(({ what, reports, shares }) => {
  test(`new generations with ${what}`, (t) => {
    const model = modelOf('a', { version: '2' });
    const chosen = [0, 0.25, 0.5, 0.75]
      .map((fraction) => versionFor(model, reports.map((held) => reportOf(held)), fraction));
    t.is(chosen.join(''), shares);
  });
});

test('an engine out of service and other models count for nothing', (t) => {
  const model = modelOf('b', { version: '2' });
  t.is(versionFor(model, [reportOf(['1'])], 0), '2');
  t.is(versionFor(modelOf('a', { version: '2' }), [reportOf(['1'], 'idle')], 0), '2');
});
