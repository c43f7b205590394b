import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, relative } from 'node:path';
import {
  compareWithKnownFailures,
  parseKnownFailures,
  type TestOutcome,
} from './known-failures.js';

interface VitestReport {
  readonly testResults: readonly {
    readonly name: string;
    readonly status: string;
    readonly assertionResults: readonly { readonly fullName: string; readonly status: string }[];
  }[];
}

const writeLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

/** Lists the outcomes of all tests; a file that could not be loaded counts as one failed test. */
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
  const result = spawnSync('npx', [...args, `--outputFile.json=${outputFile}`], {
    stdio: 'inherit',
  });
  return result.status;
};

const folder = mkdtempSync(join(tmpdir(), 'savorywind-tests-'));
const outputFile = join(folder, 'report.json');
const status = runVitest(outputFile);
const report = JSON.parse(readFileSync(outputFile, 'utf8')) as VitestReport;
rmSync(folder, { recursive: true });

const entries = parseKnownFailures(readFileSync('KNOWN-RED.txt', 'utf8'));
const summary = compareWithKnownFailures(listOutcomes(report), entries);
entries.forEach(({ test, seen, issue }) => writeLine(`known failure: ${test}: ${seen} (${issue})`));
summary.unexpected.forEach((name) => writeLine(`failed: ${name}`));
summary.stale.forEach((name) =>
  writeLine(`no longer failing, remove it from KNOWN-RED.txt: ${name}`),
);
writeLine(`${summary.passed} passed, ${summary.unexpected.length} failed`);

/** Whether Vitest failed although no test did, for example by an unhandled rejection. */
const hasFailedOutsideTests =
  status !== 0 && summary.known.length + summary.unexpected.length === 0;
const hasPassed =
  summary.unexpected.length === 0 && summary.stale.length === 0 && !hasFailedOutsideTests;
process.exitCode = hasPassed && summary.passed > 0 ? 0 : 1;
