import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { Load } from '../src/process/load.js';
import type { StartedProcess } from '../src/process/child-process.js';
import { ProcessFleet } from '../src/process/process-fleet.js';

const CALLERS = 4;
const WAIT = { timeout: 90_000, interval: 100 };
const MORE_ANSWERS = 20;

/** Waits until callers have got so many more whole answers. */
const waitServed = async (load: Load): Promise<void> => {
  const before = load.counts.whole;
  await vi.waitFor(
    () => expect(load.counts.whole).toBeGreaterThanOrEqual(before + MORE_ANSWERS),
    WAIT,
  );
};

const readUsedMemory = async (engine: StartedProcess): Promise<number> => {
  const response = await fetch(`http://127.0.0.1:${engine.port}/v1/load`);
  return ((await response.json()) as { usedMemoryTokens: number }).usedMemoryTokens;
};

describe('failures of processes under load', () => {
  let fleet: ProcessFleet;

  beforeEach(async () => {
    fleet = await ProcessFleet.start(1);
  });

  afterEach(() => fleet.stop());

  /** Callers get whole answers again, no booking runs twice, and engines give all memory back. */
  const assertRecovered = async (load: Load, engines: readonly StartedProcess[]): Promise<void> => {
    await waitServed(load);
    await load.stop();
    expect(load.counts.doubled).toBe(0);
    for (const engine of engines) {
      await vi.waitFor(async () => expect(await readUsedMemory(engine)).toBe(0), WAIT);
    }
  };

  it('goes on after kill -9 of an entry VM', async () => {
    const load = new Load(fleet.url, CALLERS);
    await waitServed(load);
    fleet.findEntryVm('entry-a1').child.kill('SIGKILL');
    await waitServed(load);
    await fleet.startEntryVm('entry-a1');
    await assertRecovered(load, fleet.engines);
  });

  it('goes on after kill -9 of an engine', async () => {
    const load = new Load(fleet.url, CALLERS);
    await waitServed(load);
    fleet.engines[0]?.child.kill('SIGKILL');
    await assertRecovered(load, fleet.engines.slice(1));
  });

  it.each<[string, (given: ProcessFleet) => StartedProcess | undefined]>([
    ['an entry VM', (given) => given.findEntryVm('entry-a1')],
    ['an engine', (given) => given.engines[0]],
    ['the platform', (given) => given.platform],
  ])('goes on while %s is stopped, and after it went on', async (_name, pick) => {
    const load = new Load(fleet.url, CALLERS);
    await waitServed(load);
    const target = pick(fleet);
    target?.child.kill('SIGSTOP');
    await new Promise((resolve) => {
      setTimeout(resolve, 8_000);
    });
    target?.child.kill('SIGCONT');
    await assertRecovered(load, fleet.engines);
  });
});
