/** One entry of KNOWN-RED.txt: a test that fails for a fault that is not mended yet. */
export interface KnownRed {
  readonly test: string;
  readonly command: string;
  readonly seen: string;
  readonly issue: string;
}

/** What one run of the tests came to, set against the known faults. */
export interface TestVerdict {
  readonly passed: number;
  /** Failures that no entry names. */
  readonly unexpected: readonly string[];
  readonly known: readonly string[];
  /** Entries whose test passed or was not run: they have to go. */
  readonly stale: readonly string[];
}

export interface TestOutcome {
  readonly name: string;
  readonly status: string;
}

const FIELD = /^(test|command|seen|issue): (.*)$/;

const parseEntry = (block: string): KnownRed | undefined => {
  const fields: Record<string, string> = {};
  block.split('\n').forEach((line) => {
    const [, name, value] = FIELD.exec(line) ?? [];
    if (name !== undefined && value !== undefined) fields[name] = value;
  });
  const { test, command = '', seen = '', issue = '' } = fields;
  return test === undefined ? undefined : { test, command, seen, issue };
};

/**
 * Reads KNOWN-RED.txt: entries divided by empty lines, each with the lines `test: `, `command: `,
 * `seen: ` and `issue: `. The test is named by file and full name, as in the runner's output.
 */
export const parseKnownRed = (text: string): KnownRed[] =>
  text
    .split(/\n\s*\n/)
    .map(parseEntry)
    .filter((entry): entry is KnownRed => entry !== undefined);

/** Sets a run's outcomes against the known faults. Only a failure that is named is passed over. */
export const decideVerdict = (
  outcomes: readonly TestOutcome[],
  entries: readonly KnownRed[],
): TestVerdict => {
  const named = new Set(entries.map(({ test }) => test));
  const failed = outcomes.filter(({ status }) => status === 'failed').map(({ name }) => name);
  return {
    passed: outcomes.filter(({ status }) => status === 'passed').length,
    unexpected: failed.filter((name) => !named.has(name)),
    known: failed.filter((name) => named.has(name)),
    stale: [...named].filter((name) => !failed.includes(name)),
  };
};
