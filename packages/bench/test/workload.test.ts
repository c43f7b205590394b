import { describe, expect, it } from 'vitest';
import { deployments } from '../src/experiments/workload/deployments.js';
import type { WorkloadSettings } from '../src/experiments/workload/types.js';
import { LONG_PROMPT_TOKENS, Workload } from '../src/experiments/workload/workload.js';

const createSettings = (overrides: Partial<WorkloadSettings> = {}): WorkloadSettings => ({
  deployment: deployments.stuhlwerk,
  load: 0.8,
  durationMs: 1_800_000,
  seed: 7,
  maxPromptTokens: 1_000_000,
  ...overrides,
});

const listPromptTokens = (settings: WorkloadSettings): number[] =>
  new Workload(settings)
    .listRequests()
    .flatMap(({ contract }) => (contract.kind === 'model' ? [contract.promptTokens] : []));

describe('Workload', () => {
  it('generates the same requests for the same seed and different ones for another seed', () => {
    const settings = createSettings({ durationMs: 20_000 });
    const requests = new Workload(settings).listRequests();
    expect(new Workload(settings).listRequests()).toEqual(requests);
    expect(new Workload({ ...settings, seed: 8 }).listRequests()).not.toEqual(requests);
  });

  it('draws prompts of 1 k to 1 M tokens, one in fifty longer than 100 k', () => {
    const lengths = listPromptTokens(createSettings());
    const longFraction =
      lengths.filter((tokens) => tokens > LONG_PROMPT_TOKENS).length / lengths.length;
    expect(Math.min(...lengths)).toBeGreaterThanOrEqual(1_000);
    expect(Math.max(...lengths)).toBeGreaterThan(900_000);
    expect(Math.max(...lengths)).toBeLessThanOrEqual(1_000_000);
    expect(longFraction).toBeGreaterThan(0.016);
    expect(longFraction).toBeLessThan(0.024);
  });

  it('draws no prompt longer than maxPromptTokens', () => {
    const lengths = listPromptTokens(createSettings({ maxPromptTokens: 380_000 }));
    expect(Math.max(...lengths)).toBeLessThanOrEqual(380_000);
  });

  it('generates twice the requests at twice the load, and a higher rate in a burst', () => {
    const half = new Workload(createSettings({ load: 0.4 })).listRequests().length;
    const requests = new Workload(createSettings()).listRequests();
    expect(requests.length / half).toBeGreaterThan(1.9);
    expect(requests.length / half).toBeLessThan(2.1);
    const inBurst = requests.filter(({ arrivalMs }) => arrivalMs % 300_000 < 30_000).length;
    expect(inBurst / requests.length).toBeGreaterThan(0.13);
  });
});
