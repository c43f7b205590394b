import { ProcessFleet } from '../process/process-fleet.js';
import { check, checkBooking, checkPreset, isChatWhole, print } from './checks.js';

const runDemo = async (fleet: ProcessFleet): Promise<void> => {
  print('started, each a process: 3 entry VMs in 3 failure domains, balancer,');
  print('    3 engines, booking service, platform');
  check(await isChatWhole(fleet.url), 'a streamed chat answer through the balancer is whole');
  await checkBooking(fleet);
  await checkPreset(fleet, 'peak');
  fleet.findEntryVm('entry-b1').child.kill('SIGKILL');
  check(await isChatWhole(fleet.formatCallerUrl('entry-c1')), 'entry-b1 killed: others serve');
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
print(process.exitCode === 1 ? 'demo: FAILED' : 'demo: every answer was right');
