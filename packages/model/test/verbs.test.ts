import { readdirSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';

const root = fileURLToPath(new URL('../../../', import.meta.url));

const readVerbs = (): Set<string> => {
  const rows = readFileSync(`${root}docs/verbs.md`, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('| `'));
  const cells = rows.map((row) => row.split('|')[1] ?? '');
  return new Set(cells.flatMap((cell) => [...cell.matchAll(/`(\w+)`/g)].map(([, verb]) => verb!)));
};

const listSources = (): string[] =>
  ['packages', 'platform'].flatMap((folder) =>
    readdirSync(`${root}${folder}`, { recursive: true, encoding: 'utf8' })
      .map((file) => `${folder}/${file}`)
      .filter((file) => /^(packages\/[^/]+|platform)\/src\/.*\.ts$/.test(file)),
  );

const listFunctions = (text: string): string[] => {
  const functions = text.matchAll(/export const (\w+) = (?:async )?(?:<[^=]*>)?\(/g);
  return [...functions].map(([, name]) => name!);
};

describe('names of functions', () => {
  it('begin with a verb of docs/verbs.md', () => {
    const verbs = readVerbs();
    const violations = listSources().flatMap((file) =>
      listFunctions(readFileSync(`${root}${file}`, 'utf8'))
        .filter((name) => !verbs.has(/^[a-z]+/.exec(name)?.[0] ?? ''))
        .map((name) => `${file}: ${name}`),
    );
    expect(violations).toEqual([]);
  });
});
