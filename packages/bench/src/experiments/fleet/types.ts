import type { RouterName } from '@savorywind/decisions';
import type { PlannedRequest, WorkloadSettings } from '../workload/types.js';

/** A fault of an experiment; it lasts from its time to the end. */
export type Fault =
  | { readonly kind: 'enginesDie'; readonly share: number; readonly atMs: number }
  | { readonly kind: 'domainCut'; readonly domain: string; readonly atMs: number }
  | { readonly kind: 'staleLoad'; readonly lagMs: number }
  | { readonly kind: 'linkLoss'; readonly share: number };

export interface FleetSettings {
  readonly workload: WorkloadSettings;
  readonly router: RouterName;
  readonly slowdownWeight: number;
  /** One-way delay within a failure domain and between two, in milliseconds. */
  readonly linkDelayMs: number;
  readonly faults: readonly Fault[];
}

/** What became of one request. */
export interface RequestResult {
  readonly planned: PlannedRequest;
  firstTokenMs: number | undefined;
  endMs: number | undefined;
  /** Name of the result code of a refusal. */
  refused: string | undefined;
  retryAfterMs: number | undefined;
  /** Whether anything of the answer went out before a refusal, or the request timed out. */
  late: boolean;
}

/** What one entry VM spent. */
export interface NodeCost {
  readonly decisionP50Us: number;
  readonly decisionP99Us: number;
  /** Processor time of all decisions, as a share of one core over the experiment. */
  readonly coreShare: number;
  readonly linkBytesPerS: number;
  readonly engineCallsPerS: number;
}

export interface FleetReport {
  readonly results: readonly RequestResult[];
  readonly nodes: readonly NodeCost[];
  /** Work that engines finished in time, over what they could do. */
  readonly durationMs: number;
}
