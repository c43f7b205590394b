// Runs the bundled gateway from its compiled form, where one is there that this Node.js takes. A
// process that starts after a failure has little processor time: compiling the bundle takes most of
// what the gateway's own start needs.
const { existsSync, readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const bundlePath = join(__dirname, 'savorywind-entry.cjs');
const compiledPath = join(__dirname, 'savorywind-entry.compiled');

/** Given by the build: write what was compiled at the end of the process. */
const WRITE_OPTION = '--write-compiled';

const source = readFileSync(bundlePath, 'utf8');
const cachedData = existsSync(compiledPath) ? readFileSync(compiledPath) : undefined;
const script = new Script(`(function (require) {${source}\n})`, {
  filename: bundlePath,
  cachedData,
});

if (process.argv.includes(WRITE_OPTION)) {
  process.on('exit', () => writeFileSync(compiledPath, script.createCachedData()));
}

script.runInThisContext()(require);
