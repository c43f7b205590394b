import type { EnginePlacement, EntryVmId, ModelId } from '@savorywind/model';

/** Placement that an engine serves or is ordered to serve. */
export interface OrderedPlacement extends EnginePlacement {
  readonly model: ModelId;
}

/** Row of a lease. It holds no time, because clocks of different machines are never compared. */
export interface LeaseRow {
  readonly holder: EntryVmId;
  readonly incarnation: number;
  /** Increased with each new holder. */
  readonly fencing: number;
  /** Increased with each renewal, which shows candidates that the holder is alive. */
  readonly renewal: number;
  /** Whether the holder released the lease before its expiry; any candidate may then take it. */
  readonly released: boolean;
}

/** The lease for placement orders in a failure domain, as shown to operators. */
export interface LeaseView {
  readonly held: boolean;
  readonly fencing: number | undefined;
}
