import { build, type Histogram } from 'hdr-histogram-js';

const MICROSECONDS_PER_MS = 1_000;

/** Histogram of latencies up to 60 s, with microsecond resolution. */
export class Latencies {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });

  recordMs(latencyMs: number): void {
    this.histogram.recordValue(Math.max(1, Math.round(latencyMs * MICROSECONDS_PER_MS)));
  }

  readPercentileMs(percentile: number): number {
    return this.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  }
}
