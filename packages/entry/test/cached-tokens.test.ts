import type { ModelContract } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { formatUsage } from '../src/callers/models/response-formats.js';
import { renderMetricsText } from '../src/observe/render-metrics.js';
import { RequestMeasurement } from '../src/observe/request-measurement.js';
import { RequestMetrics } from '../src/observe/request-metrics.js';

const CONTRACT: ModelContract = {
  kind: 'model',
  requestId: 'request-1',
  team: 'counter',
  timeoutMs: 10_000,
  digest: 'digest-1',
  model: 'assistant',
  promptTokens: 1_000,
  maxOutputTokens: 4,
  prefixDigests: [],
};

const renderAfter = (...cachedTokens: (number | undefined)[]): string => {
  const metrics = new RequestMetrics();
  cachedTokens.forEach((cached) => {
    const usage = { promptTokens: 1_000, outputTokens: 4 };
    const reported = cached === undefined ? usage : { ...usage, cachedTokens: cached };
    new RequestMeasurement(metrics, CONTRACT).recordFinish(reported);
  });
  return renderMetricsText(metrics, []);
};

describe('cached tokens that an engine reports', () => {
  it('are shown to the caller, and left out if the engine does not say', () => {
    const usage = { promptTokens: 1_000, outputTokens: 4 };
    const counts = { prompt_tokens: 1_000, completion_tokens: 4, total_tokens: 1_004 };
    expect(formatUsage({ ...usage, cachedTokens: 0 })).toEqual({
      ...counts,
      prompt_tokens_details: { cached_tokens: 0 },
    });
    expect(formatUsage(usage)).toEqual(counts);
  });

  it('are counted beside all prompt tokens, at most as many as those', () => {
    const text = renderAfter(600, 5_000, undefined, -1, NaN);
    expect(text).toMatch(/savorywind_prompt_tokens_total\{.*\} 2000\n/);
    expect(text).toMatch(/savorywind_cached_prompt_tokens_total\{.*\} 1600\n/);
  });

  it('have no metric while no engine reports them', () => {
    expect(renderAfter(undefined)).not.toContain('prompt_tokens_total');
  });
});
