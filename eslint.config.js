import { configs, plugins } from 'eslint-config-airbnb-extended';
import eslintConfigPrettier from 'eslint-config-prettier';

const IO_MODULES = ['node:*', 'ws', 'js-csp', 'msgpackr', 'tslog', 'yargs', '@savorywind/entry'];

export default [
  {
    ignores: [
      '**/dist/**',
      'target/**',
      'journal/**',
      'deploy/build.mjs',
      '**/node_modules/**',
      'docs/**',
      'eslint.config.js',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  eslintConfigPrettier,
  {
    languageOptions: {
      parserOptions: {
        projectService: false,
        project: ['packages/*/tsconfig.json', 'platform/tsconfig.json', 'tsconfig.test.json'],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      // Packages resolve each other through their built output, which lint does not need.
      'import-x/no-unresolved': 'off',
      'import-x/extensions': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      // A state machine keeps its state in the objects that it is given.
      'no-param-reassign': ['error', { props: false }],
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      // Steps that must follow one another wait for one another.
      'no-await-in-loop': 'off',
    },
  },
  {
    files: ['packages/decisions/src/**/*.ts', 'packages/model/src/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: IO_MODULES }],
      'no-restricted-globals': [
        'error',
        'process',
        'setTimeout',
        'setInterval',
        'setImmediate',
        'Date',
        'performance',
        'fetch',
      ],
    },
  },
];
