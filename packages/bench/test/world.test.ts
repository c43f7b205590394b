import { describe, expect, it } from 'vitest';
import { runSteps } from '../src/world/randomised-run.js';
import type { Step } from '../src/world/steps.js';

const settings = { seed: 1, entryVmsPerDomain: 3, enginesPerDomain: 2 };

const chat: Step = {
  kind: 'chat',
  vm: 0,
  promptTokens: 1_000,
  outputTokens: 4,
  timeoutMs: 5_000,
};
const advance: Step = { kind: 'advance', ms: 1_000 };

describe('World', () => {
  it('serves a chat request and a booking, and everything is free again', () => {
    const book: Step = { kind: 'book', vm: 4, booking: 1, keyed: true, timeoutMs: 5_000 };
    const { world } = runSteps(settings, [chat, book, advance]);
    expect(world.callers.map(({ outcome }) => outcome?.kind)).toEqual(['finished', 'finished']);
  });

  it('runs a booking once when it is sent again through another entry VM', () => {
    const book: Step = { kind: 'book', vm: 0, booking: 1, keyed: true, timeoutMs: 5_000 };
    const again: Step = { kind: 'bookAgain', vm: 4, booking: 1 };
    const { world } = runSteps(settings, [book, advance, again, advance]);
    expect(world.runs.get('booking-1')).toHaveLength(1);
  });

  it('gives the same run for the same seed', () => {
    const steps: Step[] = [chat, { kind: 'killEndpoint', endpoint: 0 }, chat, advance];
    const listOutcomes = (): unknown[] =>
      runSteps(settings, steps).world.callers.map(({ outcome }) => outcome);
    expect(listOutcomes()).toEqual(listOutcomes());
  });
});
