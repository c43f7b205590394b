import { ProcessFleet } from '../process/process-fleet.js';
import { check, checkBooking, checkPreset, isChatComplete, writeLine } from './checks.js';

/** Checks a fleet while one entry VM is killed and another one is stopped gracefully. */
const runDemo = async (fleet: ProcessFleet): Promise<void> => {
  writeLine('started as separate processes: 3 entry VMs in 3 failure domains, balancer,');
  writeLine('    3 engines, booking service, platform');
  check(
    await isChatComplete(fleet.url),
    'a streamed chat response through the balancer is complete',
  );
  await checkBooking(fleet);
  await checkPreset(fleet, 'peak');
  fleet.findEntryVm('entry-b1').child.kill('SIGKILL');
  check(await isChatComplete(fleet.formatCallerUrl('entry-c1')), 'entry-b1 killed: others serve');
  const stopped = fleet.findEntryVm('entry-a1');
  stopped.child.kill('SIGTERM');
  check((await stopped.exited) === 0, 'entry-a1 stopped gracefully');
};

const fleet = await ProcessFleet.start(1);
try {
  await runDemo(fleet);
} finally {
  fleet.stop();
}
writeLine(process.exitCode === 1 ? 'demo: FAILED' : 'demo: every answer was right');
