import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { LoadGenerator } from '../src/process/load-generator.js';
import { ProcessFleet } from '../src/process/process-fleet.js';

const CALLERS = 6;

describe('a rolling replacement of nine entry VMs under load', () => {
  let fleet: ProcessFleet;

  beforeAll(async () => {
    fleet = await ProcessFleet.start(3);
  });

  afterAll(() => fleet.stop());

  it('interrupts no request, and each process exits with code 0', async () => {
    const loadGenerator = new LoadGenerator(fleet.url, CALLERS);
    const codes: (number | undefined)[] = [];
    for (const id of fleet.entryVms.keys()) {
      const entry = fleet.findEntryVm(id);
      entry.child.kill('SIGTERM');
      codes.push(await entry.exited);
      await fleet.startEntryVm(id);
    }
    await loadGenerator.stop();
    expect(codes).toEqual(Array.from({ length: 9 }, () => 0));
    expect(
      loadGenerator.unsuccessfulResponses.filter((response) => !response.includes('"ran":"no"')),
    ).toEqual([]);
    expect(loadGenerator.counts).toMatchObject({ truncated: 0, failed: 0 });
    expect(loadGenerator.counts.complete).toBeGreaterThan(0);
  });
});
