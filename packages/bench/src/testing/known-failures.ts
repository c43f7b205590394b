/** One entry of KNOWN-RED.txt: a test that fails because of a known fault. */
export interface KnownFailure {
  readonly test: string;
  readonly command: string;
  /** What was observed when the test failed. */
  readonly seen: string;
  readonly issue: string;
}

/** Result of one test run, compared with the known failures. */
export interface TestSummary {
  readonly passed: number;
  /** Failed tests without an entry. */
  readonly unexpected: readonly string[];
  /** Failed tests with an entry. */
  readonly known: readonly string[];
  /** Tests with an entry that passed or did not run; the entry must be removed. */
  readonly stale: readonly string[];
}

/** Outcome of one test. */
export interface TestOutcome {
  /** File and full name, as in KNOWN-RED.txt. */
  readonly name: string;
  /** Status as reported by Vitest, such as `passed` or `failed`. */
  readonly status: string;
}

const FIELD = /^(test|command|seen|issue): (.*)$/;

const parseEntry = (entryText: string): KnownFailure | undefined => {
  const fields: Record<string, string> = {};
  entryText.split('\n').forEach((line) => {
    const [, name, value] = FIELD.exec(line) ?? [];
    if (name !== undefined && value !== undefined) fields[name] = value;
  });
  const { test, command = '', seen = '', issue = '' } = fields;
  return test === undefined ? undefined : { test, command, seen, issue };
};

/**
 * Parses KNOWN-RED.txt. Entries are separated by empty lines and consist of the lines `test: `,
 * `command: `, `seen: ` and `issue: `. The value of `test` is file and full name of the test, as in
 * the output of the runner. Text without a `test` line is ignored.
 */
export const parseKnownFailures = (text: string): KnownFailure[] =>
  text
    .split(/\n\s*\n/)
    .map(parseEntry)
    .filter((entry): entry is KnownFailure => entry !== undefined);

/** Compares the outcomes of a run with the known failures; any other failure is unexpected. */
export const compareWithKnownFailures = (
  outcomes: readonly TestOutcome[],
  entries: readonly KnownFailure[],
): TestSummary => {
  const knownNames = new Set(entries.map(({ test }) => test));
  const failed = outcomes.filter(({ status }) => status === 'failed').map(({ name }) => name);
  return {
    passed: outcomes.filter(({ status }) => status === 'passed').length,
    unexpected: failed.filter((name) => !knownNames.has(name)),
    known: failed.filter((name) => knownNames.has(name)),
    stale: [...knownNames].filter((name) => !failed.includes(name)),
  };
};
