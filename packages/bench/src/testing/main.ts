import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, relative } from 'node:path';
import { decideVerdict, parseKnownRed, type TestOutcome } from './known-red.js';

interface VitestReport {
  readonly testResults: readonly {
    readonly name: string;
    readonly status: string;
    readonly assertionResults: readonly { readonly fullName: string; readonly status: string }[];
  }[];
}

const say = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

/** A file that could not be loaded counts as one failed test of its name. */
const listOutcomes = (report: VitestReport): TestOutcome[] =>
  report.testResults.flatMap(({ name, status, assertionResults }) => {
    const file = relative(process.cwd(), name);
    if (assertionResults.length === 0 && status === 'failed') return [{ name: file, status }];
    return assertionResults.map((test) => ({
      name: `${file} > ${test.fullName}`,
      status: test.status,
    }));
  });

const runVitest = (outputFile: string): number | null => {
  const args = ['vitest', 'run', '--reporter=default', '--reporter=json'];
  const run = spawnSync('npx', [...args, `--outputFile.json=${outputFile}`], { stdio: 'inherit' });
  return run.status;
};

const folder = mkdtempSync(join(tmpdir(), 'savorywind-tests-'));
const outputFile = join(folder, 'report.json');
const status = runVitest(outputFile);
const report = JSON.parse(readFileSync(outputFile, 'utf8')) as VitestReport;
rmSync(folder, { recursive: true });

const entries = parseKnownRed(readFileSync('KNOWN-RED.txt', 'utf8'));
const verdict = decideVerdict(listOutcomes(report), entries);
entries.forEach(({ test, seen, issue }) => say(`known red: ${test}: ${seen} (${issue})`));
verdict.unexpected.forEach((name) => say(`failed: ${name}`));
verdict.stale.forEach((name) => say(`no longer red, remove it from KNOWN-RED.txt: ${name}`));
say(`${verdict.passed} passed, ${verdict.unexpected.length} failed`);

/** A run that ended without a failed test, yet not well, broke outside of the tests. */
const brokeOutside = status !== 0 && verdict.known.length + verdict.unexpected.length === 0;
const green = verdict.unexpected.length === 0 && verdict.stale.length === 0 && !brokeOutside;
process.exitCode = green && verdict.passed > 0 ? 0 : 1;
