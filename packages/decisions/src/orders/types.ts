import type { EnginePlacement, EntryVmId, ModelId } from '@savorywind/model';

/** What an engine serves, or is ordered to serve. */
export interface OrderedPlacement extends EnginePlacement {
  readonly model: ModelId;
}

/** The row of a lease. Holds no time: clocks of different machines are never compared. */
export interface LeaseRow {
  readonly holder: EntryVmId;
  readonly incarnation: number;
  /** Raised by one with each new holder. */
  readonly fencing: number;
  /** Raised with each renewal, so that others see that the holder is there. */
  readonly renewal: number;
  /** Given back before its time: whoever comes first may take it. */
  readonly released: boolean;
}

/** What operators see of the lease for orders in a failure domain. */
export interface LeaseView {
  readonly held: boolean;
  readonly fencing: number | undefined;
}
