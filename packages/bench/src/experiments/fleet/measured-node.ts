import { EntryNode, type NodeEffect, type NodeEvent } from '@savorywind/decisions';
import { build, type Histogram } from 'hdr-histogram-js';

const NS_PER_US = 1_000;

/** Upper end of the histogram, in microseconds. */
const MAX_RECORDED_US = 10_000_000;

/** State machine of an entry VM that records how long it takes to handle events. */
export class MeasuredNode extends EntryNode {
  /** Times to handle `request.arrived` events, in microseconds. */
  readonly decisionTimesUs: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_RECORDED_US,
    numberOfSignificantValueDigits: 2,
  });

  /** Total time to handle all events, in nanoseconds. */
  totalNs = 0;

  override handle(event: NodeEvent, nowMs: number): NodeEffect[] {
    const startNs = process.hrtime.bigint();
    const effects = super.handle(event, nowMs);
    const elapsedNs = Number(process.hrtime.bigint() - startNs);
    this.totalNs += elapsedNs;
    if (event.kind === 'request.arrived') {
      this.decisionTimesUs.recordValue(Math.max(1, Math.round(elapsedNs / NS_PER_US)));
    }
    return effects;
  }
}
