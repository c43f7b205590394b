import { configs, plugins } from 'eslint-config-airbnb-extended';
import eslintConfigPrettier from 'eslint-config-prettier';

/** Names of the users' platform, which only its adapter may contain. */
const PLATFORM_NAMES =
  '/Server-Seal|Request-Attempt-Id|Expect-Instance|Not-Executed|Prompt-Prefix|rows-feed|rows-tx|SAVORYWIND_CONFIG\\b|revoke_ms|stream_resume|kv_capacity/i';

const IO_MODULES = ['node:*', 'ws', 'js-csp', 'msgpackr', 'tslog', 'yargs', '@savorywind/entry'];

export default [
  {
    ignores: [
      '**/dist/**',
      'target/**',
      'journal/**',
      'deploy/*',
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
      // State machines change the properties of state objects that are passed to their functions.
      'no-param-reassign': ['error', { props: false }],
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      // Steps that must run in sequence are awaited in loops.
      'no-await-in-loop': 'off',
    },
  },
  {
    files: ['packages/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        'ForInStatement',
        'LabeledStatement',
        'WithStatement',
        {
          selector: `Literal[value=${PLATFORM_NAMES}], TemplateElement[value.raw=${PLATFORM_NAMES}]`,
          message: 'Names of the platform belong in platform/ only.',
        },
        {
          selector: `Identifier[name=${PLATFORM_NAMES}]`,
          message: 'Names of the platform belong in platform/ only.',
        },
      ],
      'no-restricted-imports': [
        'error',
        { patterns: ['@savorywind/platform', '**/platform/src/*'] },
      ],
    },
  },
  {
    files: ['packages/decisions/src/**/*.ts', 'packages/model/src/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: [...IO_MODULES, '@savorywind/platform'] }],
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
