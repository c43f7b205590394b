import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Load } from '../src/process/load.js';
import { ProcessFleet } from '../src/process/process-fleet.js';

const CALLERS = 6;

describe('a rolling replacement of nine entry VMs under load', () => {
  let fleet: ProcessFleet;

  beforeAll(async () => {
    fleet = await ProcessFleet.start(3);
  });

  afterAll(() => fleet.stop());

  it('cuts off no request, and each process ends by itself', async () => {
    const load = new Load(fleet.url, CALLERS);
    const codes: (number | undefined)[] = [];
    for (const id of fleet.entries.keys()) {
      const entry = fleet.findEntryVm(id);
      entry.child.kill('SIGTERM');
      codes.push(await entry.exited);
      await fleet.startEntryVm(id);
    }
    await load.stop();
    expect(codes).toEqual(Array.from({ length: 9 }, () => 0));
    expect(load.faults.filter((fault) => !fault.includes('"ran":"no"'))).toEqual([]);
    expect(load.counts).toMatchObject({ cut: 0, failed: 0 });
    expect(load.counts.whole).toBeGreaterThan(0);
  });
});
