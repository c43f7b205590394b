import { describe, expect, it } from 'vitest';
import { runSteps } from '../src/simulation/randomised-run.js';
import type { Step } from '../src/simulation/steps.js';

const settings = { seed: 1, entryVmsPerDomain: 3, enginesPerDomain: 2 };

const chat: Step = {
  kind: 'chat',
  vm: 0,
  promptTokens: 1_000,
  outputTokens: 4,
  timeoutMs: 5_000,
};
const advance: Step = { kind: 'advance', ms: 1_000 };

describe('simulation', () => {
  it('serves a chat request and a booking, and ends idle', () => {
    const book: Step = { kind: 'book', vm: 4, booking: 1, keyed: true, timeoutMs: 5_000 };
    const { simulation } = runSteps(settings, [chat, book, advance]);
    expect(simulation.callers.map(({ outcome }) => outcome?.kind)).toEqual([
      'finished',
      'finished',
    ]);
  });

  it('executes a booking once when it is retried through another entry VM', () => {
    const book: Step = { kind: 'book', vm: 0, booking: 1, keyed: true, timeoutMs: 5_000 };
    const retry: Step = { kind: 'bookAgain', vm: 4, booking: 1 };
    const { simulation } = runSteps(settings, [book, advance, retry, advance]);
    expect(simulation.executions.get('booking-1')).toHaveLength(1);
  });

  it('has the same outcomes for the same seed and steps', () => {
    const steps: Step[] = [chat, { kind: 'killEndpoint', endpoint: 0 }, chat, advance];
    const listOutcomes = (): unknown[] =>
      runSteps(settings, steps).simulation.callers.map(({ outcome }) => outcome);
    expect(listOutcomes()).toEqual(listOutcomes());
  });
});
