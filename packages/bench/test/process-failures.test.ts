import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { LoadGenerator } from '../src/process/load-generator.js';
import type { StartedProcess } from '../src/process/child-process.js';
import { ProcessFleet } from '../src/process/process-fleet.js';

const CALLERS = 4;
const WAIT_OPTIONS = { timeout: 90_000, interval: 100 };
const MIN_NEW_RESPONSES = 20;

/** Waits until callers have received a number of further complete responses. */
const waitForResponses = async (loadGenerator: LoadGenerator): Promise<void> => {
  const previousCount = loadGenerator.counts.complete;
  await vi.waitFor(
    () =>
      expect(loadGenerator.counts.complete).toBeGreaterThanOrEqual(
        previousCount + MIN_NEW_RESPONSES,
      ),
    WAIT_OPTIONS,
  );
};

const readUsedMemory = async (engine: StartedProcess): Promise<number> => {
  const response = await fetch(`http://127.0.0.1:${engine.port}/v1/load`);
  return ((await response.json()) as { usedMemoryTokens: number }).usedMemoryTokens;
};

describe('fleet under load', () => {
  let fleet: ProcessFleet;

  beforeEach(async () => {
    fleet = await ProcessFleet.start(1);
  });

  afterEach(() => fleet.stop());

  /** Checks that calls complete again, no booking is executed twice and engine memory is freed. */
  const assertRecovered = async (
    loadGenerator: LoadGenerator,
    engines: readonly StartedProcess[],
  ): Promise<void> => {
    await waitForResponses(loadGenerator);
    await loadGenerator.stop();
    expect(loadGenerator.counts.duplicated).toBe(0);
    for (const engine of engines) {
      await vi.waitFor(async () => expect(await readUsedMemory(engine)).toBe(0), WAIT_OPTIONS);
    }
  };

  it('recovers after an entry VM is killed with SIGKILL', async () => {
    const loadGenerator = new LoadGenerator(fleet.url, CALLERS);
    await waitForResponses(loadGenerator);
    fleet.findEntryVm('entry-a1').child.kill('SIGKILL');
    await waitForResponses(loadGenerator);
    await fleet.startEntryVm('entry-a1');
    await assertRecovered(loadGenerator, fleet.engines);
  });

  it('recovers after an engine is killed with SIGKILL', async () => {
    const loadGenerator = new LoadGenerator(fleet.url, CALLERS);
    await waitForResponses(loadGenerator);
    fleet.engines[0]?.child.kill('SIGKILL');
    await assertRecovered(loadGenerator, fleet.engines.slice(1));
  });

  it.each<[string, (processFleet: ProcessFleet) => StartedProcess | undefined]>([
    ['an entry VM', (processFleet) => processFleet.findEntryVm('entry-a1')],
    ['an engine', (processFleet) => processFleet.engines[0]],
    ['the platform', (processFleet) => processFleet.platform],
  ])('recovers after %s is suspended and resumed', async (_name, selectProcess) => {
    const loadGenerator = new LoadGenerator(fleet.url, CALLERS);
    await waitForResponses(loadGenerator);
    const target = selectProcess(fleet);
    target?.child.kill('SIGSTOP');
    await new Promise((resolve) => {
      setTimeout(resolve, 8_000);
    });
    target?.child.kill('SIGCONT');
    await assertRecovered(loadGenerator, fleet.engines);
  });
});
