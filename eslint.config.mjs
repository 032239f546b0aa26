import { configs, plugins } from 'eslint-config-airbnb-extended';

/** The folders of `src/` from the lowest up; none imports from one that stands after it. */
const LAYERS = [
  'common', 'memory', 'store', 'configuration', 'membership', 'engines', 'limits', 'overload',
  'pace', 'placementrank', 'rollout', 'routing', 'generation',
  'placement', 'claims', 'entry', 'relay', 'admin', 'standin', 'cli', 'daemon',
];

const UPWARD_IMPORTS = LAYERS.slice(0, -1).map((layer, index) => ({
  target: `./src/${layer}`,
  from: [...LAYERS.slice(index + 1).map((above) => `./src/${above}`), './platform'],
  message: 'A lower layer imports from a higher one.',
}));

export default [
  { ignores: ['dist/**', 'target/**', 'coverage/**', 'bench/out/**'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  {
    rules: {
      // Node resolves the `.js` specifiers of TypeScript sources; the compiler checks them.
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-cycle': 'error',
      'import-x/no-restricted-paths': ['error', { zones: UPWARD_IMPORTS }],
    },
  },
  {
    files: ['**/*.mjs'],
    languageOptions: { globals: { console: 'readonly', process: 'readonly' } },
    rules: { 'no-console': 'off', 'import-x/no-extraneous-dependencies': 'off' },
  },
  {
    files: ['bench/**/*.ts'],
    rules: { 'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }] },
  },
  {
    files: ['src/**/*.ts', 'platform/**/*.ts', 'test/**/*.ts', 'bench/**/*.ts'],
    rules: {
      // An exhaustive switch over a discriminated union is checked by the compiler.
      'consistent-return': 'off',
      // A union type starts on its own line.
      '@stylistic/operator-linebreak': ['error', 'before', { overrides: { '=': 'ignore' } }],
      'default-case': 'off',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
    },
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
  },
];
