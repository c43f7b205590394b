import { setTimeout as delay } from 'node:timers/promises';
import type { NodeStatus } from '@savorywind/decisions';
import { runOperatorCommand } from '../process/child-process.js';
import {
  FLEET_CREDENTIAL,
  FLEET_OPERATOR_CREDENTIAL,
  type ProcessFleet,
} from '../process/process-fleet.js';

// Checks of a running fleet. Each prints one line; a failed check sets the exit code to 1.

const OUTPUT_TOKENS = 12;

/** Time within which entry VMs send each other several heartbeats. */
const HEARTBEAT_TIMEOUT_MS = 10_000;

/** Time within which the result of a call is stored after its answer, in milliseconds. */
const KEY_IN_USE_TIMEOUT_MS = 5_000;

const HTTP_CONFLICT = 409;
const MS_PER_S = 1_000;

export const writeLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

/** Prints the result of a check; a failed check sets the exit code to 1. */
export const check = (hasPassed: boolean, description: string): void => {
  writeLine(`${hasPassed ? 'ok' : 'WRONG'}: ${description}`);
  if (!hasPassed) process.exitCode = 1;
};

const headers = {
  authorization: `Bearer ${FLEET_CREDENTIAL}`,
  'content-type': 'application/json',
};

/** Sends a streamed chat request and returns whether the response has all tokens and its end. */
export const isChatComplete = async (url: string): Promise<boolean> => {
  const response = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify({
      model: 'assistant',
      stream: true,
      max_tokens: OUTPUT_TOKENS,
      messages: [{ role: 'user', content: 'Is the chair by the window free on Saturday?' }],
    }),
  });
  const text = await response.text();
  const tokens = text.split('\n\n').filter((event) => event.includes('"content":"'));
  const hasEnded = text.trimEnd().endsWith('data: [DONE]');
  return response.status === 200 && hasEnded && tokens.length >= OUTPUT_TOKENS;
};

const sendBooking = (url: string): Promise<Response> =>
  fetch(`${url}/services/booking/bookings`, {
    method: 'POST',
    headers: { ...headers, 'idempotency-key': 'saturday-1' },
    body: JSON.stringify({ id: 'saturday' }),
  });

interface Answer {
  readonly status: number;
  readonly text: string;
}

/** Whether the answer says that the call with this key still runs, or that its result is not stored yet. */
const isKeyInUse = ({ status, text }: Answer): boolean =>
  status === HTTP_CONFLICT && text.includes('keyInUse');

/**
 * Sends a booking again as its caller would: while the answer says that the key is in use, it comes back after
 * the time that the answer names.
 */
const retryBooking = async (url: string): Promise<Answer> => {
  const endMs = performance.now() + KEY_IN_USE_TIMEOUT_MS;
  for (;;) {
    const response = await sendBooking(url);
    const answer = { status: response.status, text: await response.text() };
    const retryAfterS = Number(response.headers.get('retry-after') ?? Number.NaN);
    const mayComeBack = isKeyInUse(answer) && retryAfterS > 0 && performance.now() < endMs;
    if (!mayComeBack) return answer;
    writeLine('    the result of the booking is not stored yet; the caller comes back as told');
    await delay(retryAfterS * MS_PER_S);
  }
};

/** Checks that a booking sent through two entry VMs is executed once and gets the same response. */
export const checkBooking = async (fleet: ProcessFleet): Promise<void> => {
  const first = await sendBooking(fleet.formatCallerUrl('entry-a1'));
  check(first.status === 201, 'a booking was made through entry-a1');
  const second = await retryBooking(fleet.formatCallerUrl('entry-b1'));
  const isSame = second.status === 201 && second.text === (await first.text());
  check(isSame, 'retried through entry-b1, it gets the same response');
  if (!isSame) writeLine(`    it got ${second.status}: ${second.text}`);
  const lookup = await fetch(`${fleet.url}/services/booking/bookings/saturday`, { headers });
  const { runs } = (await lookup.json()) as { runs: number };
  check(runs === 1, 'it was executed once');
};

const createOperatorEnv = (fleet: ProcessFleet): Readonly<Record<string, string>> => ({
  SAVORYWIND_ENTRY: fleet.operatorUrls.join(','),
  SAVORYWIND_CREDENTIAL: FLEET_OPERATOR_CREDENTIAL,
});

/**
 * Switches the preset and checks that every entry VM has it in force within 9 s.
 *
 * @param cliMain main file of the command-line program; that of this build by default
 */
export const checkPreset = async (
  fleet: ProcessFleet,
  preset: string,
  cliMain?: string,
): Promise<void> => {
  const args = ['preset', 'switch', preset, '--wait', '9'];
  const result = await runOperatorCommand(args, createOperatorEnv(fleet), cliMain);
  result.output.split('\n').forEach((line) => writeLine(`    ${line}`));
  check(result.exitCode === 0, `savorywind preset switch ${preset} --wait 9`);
};

/**
 * Reads the configuration versions that each entry VM knows of all live entry VMs; undefined before
 * the first heartbeat.
 */
const readVersions = async (
  fleet: ProcessFleet,
  cliMain?: string,
): Promise<(number | undefined)[]> => {
  const result = await runOperatorCommand(['status', '--json'], createOperatorEnv(fleet), cliMain);
  const { entryVms } = JSON.parse(result.output) as { entryVms: readonly NodeStatus[] };
  return entryVms.flatMap(({ configurationVersions }) =>
    configurationVersions.map(({ version }) => version),
  );
};

/**
 * Checks that every entry VM learns from heartbeats that all have a configuration version.
 *
 * @param cliMain main file of the command-line program; that of this build by default
 */
export const checkVersionKnown = async (
  fleet: ProcessFleet,
  version: number,
  cliMain?: string,
): Promise<void> => {
  const count = fleet.operatorUrls.length ** 2;
  const endMs = performance.now() + HEARTBEAT_TIMEOUT_MS;
  let hasPassed = false;
  while (!hasPassed && performance.now() < endMs) {
    const versions = await readVersions(fleet, cliMain);
    hasPassed =
      versions.length === count && versions.every((knownVersion) => knownVersion === version);
  }
  check(hasPassed, `every entry VM knows that all have version ${version}`);
};
