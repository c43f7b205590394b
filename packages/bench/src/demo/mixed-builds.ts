import { join, resolve } from 'node:path';
import { ProcessFleet } from '../process/process-fleet.js';
import {
  check,
  checkBooking,
  checkPreset,
  checkVersionKnown,
  isChatComplete,
  writeLine,
} from './checks.js';

/**
 * Runs entry VMs of this build and of another one in one fleet, as during a rolling upgrade.
 *
 * Usage: node packages/bench/dist/demo/mixed-builds.js FOLDER
 *
 * FOLDER is a checkout of the project that contains the other build.
 */

const EXIT_USAGE = 2;

const ENTRY_IDS = ['entry-a1', 'entry-b1', 'entry-c1'];

/** The entry VM that is restarted with the opposite build. */
const REPLACED_ID = 'entry-b1';

const [folder] = process.argv.slice(2);
if (folder === undefined) {
  process.stderr.write('usage: mixed-builds.js FOLDER\n');
  process.exit(EXIT_USAGE);
}
const otherEntryMain = resolve(join(folder, 'packages/entry/dist/main.js'));
const otherCliMain = resolve(join(folder, 'packages/cli/dist/main.js'));

const checkChats = async (fleet: ProcessFleet): Promise<void> => {
  for (const id of ENTRY_IDS) {
    check(
      await isChatComplete(fleet.formatCallerUrl(id)),
      `a streamed chat response of ${id} is complete`,
    );
  }
};

/** Restarts an entry VM with the opposite build, which reads the same settings and stored rows. */
const replaceEntryVm = async (
  fleet: ProcessFleet,
  otherBuildIds: readonly string[],
): Promise<void> => {
  const stopped = fleet.findEntryVm(REPLACED_ID);
  stopped.child.kill('SIGTERM');
  check((await stopped.exited) === 0, `${REPLACED_ID} stopped gracefully`);
  fleet.setEntryMain(REPLACED_ID, otherBuildIds.includes(REPLACED_ID) ? undefined : otherEntryMain);
  await fleet.startEntryVm(REPLACED_ID);
  writeLine(`    ${REPLACED_ID} restarted with the opposite build`);
};

const runFleet = async (otherBuildIds: readonly string[]): Promise<void> => {
  writeLine(`entry VMs of the other build: ${otherBuildIds.join(', ')}`);
  const fleet = await ProcessFleet.start(
    1,
    new Map(otherBuildIds.map((id) => [id, otherEntryMain])),
  );
  try {
    await checkChats(fleet);
    await checkBooking(fleet);
    await checkPreset(fleet, 'peak');
    await checkVersionKnown(fleet, 2, otherCliMain);
    await checkPreset(fleet, 'ordinary', otherCliMain);
    await checkVersionKnown(fleet, 3);
    await replaceEntryVm(fleet, otherBuildIds);
    await checkChats(fleet);
    await checkBooking(fleet);
    await checkVersionKnown(fleet, 3);
  } finally {
    fleet.stop();
  }
};

await runFleet(['entry-b1']);
await runFleet(['entry-a1', 'entry-c1']);
writeLine(process.exitCode === 1 ? 'mixed builds: FAILED' : 'mixed builds: every answer was right');
