import { build, type Histogram } from 'hdr-histogram-js';

const MICROSECONDS_PER_MS = 1_000;

/** Latencies in milliseconds, kept as microseconds. */
export class Latencies {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });

  recordMs(ms: number): void {
    this.histogram.recordValue(Math.max(1, Math.round(ms * MICROSECONDS_PER_MS)));
  }

  readMs(percentile: number): number {
    return this.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  }
}
