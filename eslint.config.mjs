import { configs, plugins } from 'eslint-config-airbnb-extended';

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
