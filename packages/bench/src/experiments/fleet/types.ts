import type { RouterName } from '@savorywind/decisions';
import type { ModelDeclaration } from '@savorywind/model';
import type { PlannedRequest, WorkloadSettings } from '../workload/types.js';

/**
 * A fault of an experiment. `engineCrash` and `domainPartition` begin at `atMs`, `staleLoad` and
 * `linkLoss` at the start; all last until the end of the run. Fractions are from 0 to 1.
 */
export type Fault =
  | { readonly kind: 'engineCrash'; readonly fraction: number; readonly atMs: number }
  | { readonly kind: 'domainPartition'; readonly domain: string; readonly atMs: number }
  | { readonly kind: 'staleLoad'; readonly lagMs: number }
  | { readonly kind: 'linkLoss'; readonly fraction: number };

/** Settings of one simulated run. */
export interface FleetSettings {
  readonly workload: WorkloadSettings;
  readonly router: RouterName;
  readonly slowdownWeight: number;
  /** One-way network delay, the same within and between failure domains. */
  readonly linkDelayMs: number;
  readonly faults: readonly Fault[];
  /** Requests of the run; drawn from the workload's settings if absent. */
  readonly requests?: readonly PlannedRequest[];
  /** Declared for the model, as in the configuration; engines' prefixes do not count if absent. */
  readonly prefixRetention?: ModelDeclaration['prefixRetention'];
}

/** Outcome of one request. Times are on the clock of the run. */
export interface RequestResult {
  readonly planned: PlannedRequest;
  firstTokenMs: number | undefined;
  endMs: number | undefined;
  /** Name of the result code if the request was refused. */
  refused: string | undefined;
  retryAfterMs: number | undefined;
  /** Whether the request was refused after it may have run, or timed out. */
  failedAfterAdmission: boolean;
  /** Engine or replica of the last attempt. */
  endpoint: string | undefined;
  /** Prompt tokens that the engine had retained. */
  cachedTokens: number | undefined;
}

/** Resources used by one entry VM while requests arrived; rates are per simulated second. */
export interface NodeUsage {
  readonly decisionP50Us: number;
  readonly decisionP99Us: number;
  /** Processor time of all events divided by the simulated time: a fraction of one core. */
  readonly coreFraction: number;
  readonly linkBytesPerS: number;
  readonly engineCallsPerS: number;
}

/** Outcomes and resource usage of a run. */
export interface FleetReport {
  readonly results: readonly RequestResult[];
  readonly nodes: readonly NodeUsage[];
  /** Blocks of prefixes that all engines dropped, except by a crash. */
  readonly evictedBlocks: number;
  /** Time during which requests arrived. */
  readonly durationMs: number;
}
