import { describe, expect, it } from 'vitest';
import { EngineModel, type ModelStream } from '../src/index.js';

const SPIN_MS = 50;

/** Keeps the thread busy, as a slow listener does, so that the clock moves on within a report. */
const spin = (): void => {
  const endMs = performance.now() + SPIN_MS;
  while (performance.now() < endMs);
};

describe('listeners of streams', () => {
  it('hear once that a stream is finished, also when it ends while another is told', async () => {
    const model = new EngineModel({
      memoryTokens: 10_000,
      prefillTokensPerS: 1_000_000,
      decodeTokensPerS: 1_000,
      pace: 'everyToken',
    });
    const start = (streamId: string, maxOutputTokens: number): ModelStream => {
      const ask = { streamId, promptTokens: 10, maxOutputTokens, seedText: 'seed' };
      const stream = model.startStream(ask);
      if (stream === undefined) throw new Error('does not fit');
      return stream;
    };
    const first = start('first', 20);
    const second = start('second', 30);
    let finishedReports = 0;
    first.listener = () => {
      if (!first.finished) return;
      spin();
      model.releaseStream('first');
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
