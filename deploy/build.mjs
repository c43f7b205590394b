// Bundles the gateway for the platform into one file and keeps its compiled form beside it: it starts
// faster and holds less memory.
import { spawnSync } from 'node:child_process';
import { copyFileSync, existsSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = fileURLToPath(new URL('../', import.meta.url));
const compiledPath = `${root}target/savorywind-entry.compiled`;

/** Packages of the workspace are bundled from their sources. */
const alias = Object.fromEntries(
  readdirSync(`${root}packages`).map((name) => [
    `@savorywind/${name}`,
    `${root}packages/${name}/src/index.ts`,
  ]),
);

// The entry for browsers: a native decoder can't be bundled, and looking for it takes long at a start.
alias.msgpackr = `${root}node_modules/msgpackr/index.js`;

/**
 * ts-results' CommonJS entry loads its parts by computed names, which a bundle can't follow; its ES
 * modules have no default export, which Node.js needs of the CommonJS one.
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

/** Options of Node.js in the deploy file: compiled code is taken under the same options only. */
const readNodeOptions = () => {
  const [, options = ''] =
    /run = "node (.*) \S+"/.exec(readFileSync(`${root}deploy/system.toml`, 'utf8')) ?? [];
  return options.split(' ').filter((option) => option !== '');
};

/** Starts the gateway without settings: it loads all its modules, finds none and ends. */
const writeCompiled = () => {
  rmSync(compiledPath, { force: true });
  const args = [...readNodeOptions(), 'target/start.cjs', '--write-compiled'];
  spawnSync(process.execPath, args, { cwd: root, env: {} });
  // Without it the gateway compiles the bundle at each start.
  if (!existsSync(compiledPath)) process.stderr.write('no compiled form was written\n');
};

await bundle('platform/src/main.ts', 'target/savorywind-entry.cjs', 'cjs');
copyFileSync(`${root}deploy/start.cjs`, `${root}target/start.cjs`);
writeCompiled();
if (process.argv.includes('--demo')) {
  await bundle('platform/test/demo.ts', 'target/platform-demo.mjs', 'esm');
  await bundle('platform/test/mixed-builds-demo.ts', 'target/mixed-builds-demo.mjs', 'esm');
}
