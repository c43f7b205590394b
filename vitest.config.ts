import { fileURLToPath } from 'node:url';
import { defineConfig } from 'vitest/config';

const locateSource = (name: string): string =>
  fileURLToPath(new URL(`./packages/${name}/src/index.ts`, import.meta.url));

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
    include: ['packages/*/test/**/*.test.ts', 'platform/test/**/*.test.ts'],
    testTimeout: 120_000,
    hookTimeout: 60_000,
  },
});
