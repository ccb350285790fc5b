import { configs, extensions, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier/flat';
import tsdoc from 'eslint-plugin-tsdoc';

const typeCheckedOff = extensions.base.typescript.find(
  ({ name }) => name === 'airbnb/config/base-typescript-disable-type-checked',
);

const loopsThatAirbnbForbids = ['ForOfStatement'];

/** The airbnb rule bans `for..of`; what else it bans stays banned. */
const restrictedSyntax = configs.base.recommended
  .map(({ rules }) => rules?.['no-restricted-syntax'])
  .filter(Array.isArray)
  .at(-1)
  .filter((entry) => !loopsThatAirbnbForbids.includes(entry.selector));

export default [
  {
    ignores: [
      '**/node_modules/**',
      '**/dist/**',
      '.build/**',
      'target/**',
      'journal/**',
      'packages/*/src/protocol/generated/**',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...configs.node.recommended,
  // Linting does not load types: the compiler checks those.
  {
    ...typeCheckedOff,
    name: 'samphirenotch/no-types',
    files: ['**/*.ts'],
  },
  {
    name: 'samphirenotch/rules',
    files: ['**/*.ts', '**/*.js'],
    plugins: { tsdoc },
    rules: {
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': 'off',
      'max-classes-per-file': 'off',
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-restricted-syntax': restrictedSyntax,
      'import-x/extensions': ['error', 'ignorePackages', { js: 'always', ts: 'never' }],
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/prefer-default-export': 'off',
      // The compiler or checkImports answers these.
      'import-x/named': 'off',
      'import-x/no-cycle': 'off',
      'n/no-missing-import': 'off',
      'n/no-unpublished-import': 'off',
      'n/hashbang': 'off',
      // It loads types to judge calls.
      'n/no-sync': 'off',
      'tsdoc/syntax': 'error',
    },
  },
  {
    name: 'samphirenotch/packages',
    files: ['packages/*/src/**/*.ts'],
    rules: {
      'max-classes-per-file': ['error', 1],
      'import-x/no-extraneous-dependencies': ['error', { devDependencies: false }],
    },
  },
  {
    name: 'samphirenotch/console',
    files: [
      'packages/samphirenotch-cli/src/**/*.ts',
      'packages/samphirenotch-stand-ins/src/*Main.ts',
      'utils/**/*.ts',
      'benchmarks/**/*.ts',
    ],
    rules: { 'no-console': 'off' },
  },
  {
    name: 'samphirenotch/daemons',
    files: ['platform/main.ts'],
    // Its watches and connections would keep the process alive after the last answer.
    rules: { 'n/no-process-exit': 'off' },
  },
  prettier,
];
