// Runs entry VMs of this build together with those of another build, on stand-ins, as during a rolling
// upgrade.
//
// Usage: npm run demo:mixed -- FOLDER
// FOLDER is a checkout of the project in which the other build was made with these commands:
// npm ci && npm run build && node deploy/build.mjs
import { spawnSync } from 'node:child_process';
import process from 'node:process';
import { fileURLToPath } from 'node:url';

const root = fileURLToPath(new URL('../', import.meta.url));

const PROGRAMS = ['packages/bench/dist/demo/mixed-builds.js', 'target/mixed-builds-demo.mjs'];

const run = (args) => spawnSync(process.execPath, args, { cwd: root, stdio: 'inherit' }).status;

const statuses = PROGRAMS.map((program) => run([program, ...process.argv.slice(2)]));
process.exitCode = statuses.every((status) => status === 0) ? 0 : 1;
