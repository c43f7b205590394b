import { fileURLToPath } from 'node:url';
import { defineConfig } from 'vitest/config';

const locateSource = (name: string): string =>
  fileURLToPath(new URL(`./packages/${name}/src/index.ts`, import.meta.url));

/** Tests of clients that nobody controls. */
const CROWDS = 'platform/test/crowds/*.test.ts';

export default defineConfig({
  resolve: {
    alias: {
      '@savorywind/model': locateSource('model'),
      '@savorywind/decisions': locateSource('decisions'),
      '@savorywind/entry': locateSource('entry'),
      '@savorywind/stand-ins': locateSource('stand-ins'),
      '@savorywind/bench': locateSource('bench'),
    },
  },
  test: {
    testTimeout: 120_000,
    hookTimeout: 60_000,
    projects: [
      {
        extends: true,
        test: {
          name: 'all',
          include: ['packages/*/test/**/*.test.ts', 'platform/test/**/*.test.ts'],
          exclude: [CROWDS],
          sequence: { groupOrder: 0 },
        },
      },
      {
        // Behind the others and one at a time: each fills one process up to its bounds.
        extends: true,
        test: {
          name: 'crowds',
          include: [CROWDS],
          maxWorkers: 1,
          fileParallelism: false,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
