// Runs the bundled gateway with its V8 code cache, if one exists and this Node.js accepts it. A process
// that starts after a failure gets little processor time, and compiling the bundle takes most of the
// processor time of the gateway's start.
const { existsSync, readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const bundlePath = join(__dirname, 'savorywind-entry.cjs');
const codeCachePath = join(__dirname, 'savorywind-entry.compiled');

/** Option that the build sets, to write the code cache when the process exits. */
const WRITE_OPTION = '--write-compiled';

const source = readFileSync(bundlePath, 'utf8');
const cachedData = existsSync(codeCachePath) ? readFileSync(codeCachePath) : undefined;
const script = new Script(`(function (require) {${source}\n})`, {
  filename: bundlePath,
  cachedData,
});

if (process.argv.includes(WRITE_OPTION)) {
  process.on('exit', () => writeFileSync(codeCachePath, script.createCachedData()));
}

script.runInThisContext()(require);
