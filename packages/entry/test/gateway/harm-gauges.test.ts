import { describe, expect, it } from 'vitest';
import { listHarmGauges } from '../../src/gateway/metrics/harm-gauges.js';
import { GatewayMetrics } from '../../src/gateway/metrics/gateway-metrics.js';

const USAGE = { suspects: 41, crashes: 7, refused: 12, trials: 2 };

const render = (count: number): string => {
  const blocked = Array.from({ length: count }, (_, index) => ({
    suspect: `part/pool/llm/${index}`,
    blockedForMs: 1_500,
  }));
  return new GatewayMetrics().render(listHarmGauges({ ...USAGE, blocked }));
};

describe('metrics of requests that crash endpoints', () => {
  it('list what is blocked, and since when', () => {
    const text = render(2);
    expect(text).toContain('\nsavorywind_harm_blocked_suspects 2\n');
    expect(text).toContain('\nsavorywind_harm_blocked_seconds{suspect="part/pool/llm/1"} 1.5\n');
    expect(text).toContain('\nsavorywind_harm_refusals_total 12\n');
  });

  it('stay small whatever is blocked', () => {
    expect(render(256).match(/^savorywind_harm_blocked_seconds\{/gm)).toHaveLength(32);
    expect(render(0)).not.toContain('savorywind_harm_blocked_seconds{');
  });
});
