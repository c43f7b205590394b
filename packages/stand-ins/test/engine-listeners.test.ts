import { describe, expect, it } from 'vitest';
import { EngineSimulator, type SimulatedStream } from '../src/index.js';

const SPIN_MS = 50;

/** Blocks the thread, as a slow listener does, so that time passes while listeners are called. */
const spin = (): void => {
  const endMs = performance.now() + SPIN_MS;
  while (performance.now() < endMs);
};

describe('stream listeners', () => {
  it('are called once for a finished stream, also if it ends while another listener runs', async () => {
    const simulator = new EngineSimulator({
      memoryTokens: 10_000,
      prefillTokensPerS: 1_000_000,
      decodeTokensPerS: 1_000,
      pace: 'everyToken',
    });
    const start = (streamId: string, maxOutputTokens: number): SimulatedStream => {
      const request = { streamId, promptTokens: 10, maxOutputTokens, seedText: 'seed' };
      const stream = simulator.startStream(request);
      if (stream === undefined) throw new Error('stream does not fit into the engine memory');
      return stream;
    };
    const first = start('first', 20);
    const second = start('second', 30);
    let finishedReports = 0;
    first.listener = () => {
      if (!first.finished) return;
      spin();
      simulator.releaseStream('first');
    };
    await new Promise<void>((resolve) => {
      second.listener = () => {
        if (!second.finished) return;
        finishedReports += 1;
        setTimeout(resolve, SPIN_MS);
      };
    });
    expect(finishedReports).toBe(1);
  });
});
