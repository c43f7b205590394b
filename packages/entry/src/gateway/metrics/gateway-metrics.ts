import type { RequestMeasured } from '@savorywind/decisions';
import { findLengthBand } from '../../observe/length-bands.js';
import { convertToMicroseconds, type MeasureName } from '../../observe/metric-names.js';
import { renderMetricsText, type Gauge } from '../../observe/render-metrics.js';
import { recordOutcome, recordValue, RequestMetrics } from '../../observe/request-metrics.js';

/** Request counters and latency histograms by team, route and prompt length, bounded in number. */
export class GatewayMetrics {
  private readonly requests = new RequestMetrics();

  record(measured: RequestMeasured): void {
    const { team, route, promptTokens, outcome } = measured;
    const band = promptTokens > 0 ? findLengthBand(promptTokens) : 'none';
    const series = this.requests.findSeries({ team, class: route, band });
    recordOutcome(series, outcome);
    const times: readonly [MeasureName, number | undefined][] = [
      ['queueing', measured.queuedMs],
      ['firstToken', measured.firstEventMs],
      ['total', measured.totalMs],
    ];
    times.forEach(([name, ms]) => {
      if (ms !== undefined) recordValue(series, name, convertToMicroseconds(ms));
    });
  }

  render(gauges: readonly Gauge[]): string {
    return renderMetricsText(this.requests, gauges);
  }
}
