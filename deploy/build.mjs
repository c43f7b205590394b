// Bundles the gateway for the platform into one file and writes its V8 code cache next to it, so that
// the gateway starts faster and needs less memory.
import { spawnSync } from 'node:child_process';
import { existsSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = fileURLToPath(new URL('../', import.meta.url));

/** Tests build into folders of their own: test files run at the same time. */
const OUTPUT_OPTION = '--out=';

const output =
  process.argv
    .find((argument) => argument.startsWith(OUTPUT_OPTION))
    ?.slice(OUTPUT_OPTION.length) ?? `${root}target`;
const codeCachePath = `${output}/savorywind-entry.compiled`;

/** Bundles the packages of the workspace from their sources. */
const alias = Object.fromEntries(
  readdirSync(`${root}packages`).map((name) => [
    `@savorywind/${name}`,
    `${root}packages/${name}/src/index.ts`,
  ]),
);

// The entry point for browsers, which has no native decoder. A native decoder can't be bundled, and
// searching for it slows down the start.
alias.msgpackr = `${root}node_modules/msgpackr/index.js`;

/**
 * Bundles the ES modules of ts-results and adds a default export. Its CommonJS entry point can't be
 * bundled, because it loads its parts by computed names. The project uses the default export, which
 * Node.js provides for a CommonJS module and which the ES modules lack.
 */
const tsResults = {
  name: 'ts-results',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: /^ts-results$/ }, () => ({ path: 'ts-results', namespace: 'ts-results' }));
    onLoad({ filter: /.*/, namespace: 'ts-results' }, () => ({
      contents:
        "import * as all from './node_modules/ts-results/esm/index.js'; export default all;",
      resolveDir: root,
    }));
  },
};

const bundle = (entryPoint, outfile, format) =>
  build({
    absWorkingDir: root,
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format,
    alias,
    plugins: [tsResults],
    logLevel: 'warning',
  });

/**
 * Reads the options of Node.js from the deploy file. A code cache is accepted only by a process with the
 * options with which it was written.
 */
const readNodeOptions = () => {
  const [, options = ''] =
    /run = "node (.*) \S+"/.exec(readFileSync(`${root}deploy/system.toml`, 'utf8')) ?? [];
  return options.split(' ').filter((option) => option !== '');
};

/** Starts the gateway without settings: it loads all its modules, finds no settings and exits. */
const writeCodeCache = () => {
  rmSync(codeCachePath, { force: true });
  const args = [...readNodeOptions(), `${output}/start.cjs`, '--write-compiled'];
  spawnSync(process.execPath, args, { cwd: root, env: {} });
  // Not fatal: without a code cache, the gateway compiles the bundle at each start.
  if (!existsSync(codeCachePath)) process.stderr.write('code cache was not written\n');
};

await bundle('platform/src/main.ts', `${output}/savorywind-entry.cjs`, 'cjs');
await bundle('platform/src/start.ts', `${output}/start.cjs`, 'cjs');
writeCodeCache();
if (process.argv.includes('--bench')) {
  await bundle('platform/test/start-benchmark.ts', 'target/start-benchmark.mjs', 'esm');
  await bundle(
    'platform/test/request-cost-benchmark.ts',
    'target/request-cost-benchmark.mjs',
    'esm',
  );
}
if (process.argv.includes('--demo')) {
  await bundle('platform/test/demo.ts', 'target/platform-demo.mjs', 'esm');
  await bundle('platform/test/mixed-builds-demo.ts', 'target/mixed-builds-demo.mjs', 'esm');
  await bundle(
    'platform/test/refused-requests-stress.ts',
    'target/refused-requests-stress.mjs',
    'esm',
  );
  await bundle('platform/test/boundaries/main.ts', 'target/boundaries.mjs', 'esm');
}
