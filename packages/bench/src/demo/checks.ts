import type { NodeStatus } from '@savorywind/decisions';
import { runOperatorCommand } from '../process/child-process.js';
import {
  FLEET_CREDENTIAL,
  FLEET_OPERATOR_CREDENTIAL,
  type ProcessFleet,
} from '../process/process-fleet.js';

/** Checks of a running fleet. Each prints one line; a failed check sets the exit code to 1. */

const OUTPUT_TOKENS = 12;

/** Several heartbeats between entry VMs, in milliseconds. */
const HEARTBEATS_LIMIT_MS = 10_000;

export const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

export const check = (holds: boolean, what: string): void => {
  print(`${holds ? 'ok' : 'WRONG'}: ${what}`);
  if (!holds) process.exitCode = 1;
};

const headers = {
  authorization: `Bearer ${FLEET_CREDENTIAL}`,
  'content-type': 'application/json',
};

export const isChatWhole = async (url: string): Promise<boolean> => {
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
  const ended = text.trimEnd().endsWith('data: [DONE]');
  return response.status === 200 && ended && tokens.length >= OUTPUT_TOKENS;
};

const sendBooking = (url: string): Promise<Response> =>
  fetch(`${url}/services/booking/bookings`, {
    method: 'POST',
    headers: { ...headers, 'idempotency-key': 'saturday-1' },
    body: JSON.stringify({ id: 'saturday' }),
  });

export const checkBooking = async (fleet: ProcessFleet): Promise<void> => {
  const first = await sendBooking(fleet.formatCallerUrl('entry-a1'));
  check(first.status === 201, 'a booking was made through entry-a1');
  const second = await sendBooking(fleet.formatCallerUrl('entry-b1'));
  const same = (await second.text()) === (await first.text());
  check(second.status === 201 && same, 'sent again through entry-b1, it gets the same answer');
  const lookup = await fetch(`${fleet.url}/services/booking/bookings/saturday`, { headers });
  const { runs } = (await lookup.json()) as { runs: number };
  check(runs === 1, 'it ran once');
};

const createOperatorEnv = (fleet: ProcessFleet): Readonly<Record<string, string>> => ({
  SAVORYWIND_ENTRY: fleet.operatorUrls.join(','),
  SAVORYWIND_CREDENTIAL: FLEET_OPERATOR_CREDENTIAL,
});

/**
 * Switches the preset and waits until every entry VM has it.
 *
 * @param cliMain program of the operators' command of another build
 */
export const checkPreset = async (
  fleet: ProcessFleet,
  preset: string,
  cliMain?: string,
): Promise<void> => {
  const args = ['preset', 'switch', preset, '--wait', '9'];
  const run = await runOperatorCommand(args, createOperatorEnv(fleet), cliMain);
  run.output.split('\n').forEach((line) => print(`    ${line}`));
  check(run.exitCode === 0, `savorywind preset switch ${preset} --wait 9`);
};

/** Versions that each entry VM knows of every live one; undefined before the first heartbeat. */
const readVersions = async (
  fleet: ProcessFleet,
  cliMain?: string,
): Promise<(number | undefined)[]> => {
  const run = await runOperatorCommand(['status', '--json'], createOperatorEnv(fleet), cliMain);
  const { entryVms } = JSON.parse(run.output) as { entryVms: readonly NodeStatus[] };
  return entryVms.flatMap(({ configurationVersions }) =>
    configurationVersions.map(({ version }) => version),
  );
};

/**
 * Checks that every entry VM learns from heartbeats that all entry VMs have a version.
 *
 * @param cliMain program of the operators' command of another build
 */
export const checkVersionKnown = async (
  fleet: ProcessFleet,
  version: number,
  cliMain?: string,
): Promise<void> => {
  const count = fleet.operatorUrls.length ** 2;
  const endMs = performance.now() + HEARTBEATS_LIMIT_MS;
  let holds = false;
  while (!holds && performance.now() < endMs) {
    const versions = await readVersions(fleet, cliMain);
    holds = versions.length === count && versions.every((known) => known === version);
  }
  check(holds, `every entry VM knows that all have version ${version}`);
};
