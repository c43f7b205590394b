import { EntryNode, type NodeEffect, type NodeEvent } from '@savorywind/decisions';
import { build, type Histogram } from 'hdr-histogram-js';

const NS_PER_US = 1_000;

/** Longest decision that is told apart, in microseconds. */
const HIGHEST_US = 10_000_000;

/** The product's decisions with the processor time that they take. */
export class MeasuredNode extends EntryNode {
  /** Microseconds of `request.arrived` events. */
  readonly decisions: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_US,
    numberOfSignificantValueDigits: 2,
  });

  /** Nanoseconds of all events. */
  totalNs = 0;

  override handle(event: NodeEvent, nowMs: number): NodeEffect[] {
    const startNs = process.hrtime.bigint();
    const effects = super.handle(event, nowMs);
    const tookNs = Number(process.hrtime.bigint() - startNs);
    this.totalNs += tookNs;
    if (event.kind === 'request.arrived') {
      this.decisions.recordValue(Math.max(1, Math.round(tookNs / NS_PER_US)));
    }
    return effects;
  }
}
