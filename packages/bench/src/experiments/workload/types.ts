import type { EngineModelSettings } from '@savorywind/stand-ins';
import type { RequestContract } from '@savorywind/model';

/** Rate of one kind of prompt over time, relative to its mean. */
export interface Burst {
  readonly everyMs: number;
  readonly lastsMs: number;
  /** Rate within the burst over the mean rate. */
  readonly factor: number;
}

/** A fleet and its callers. */
export interface Deployment {
  readonly name: string;
  readonly engines: number;
  readonly serviceReplicas: number;
  readonly entryVms: number;
  readonly failureDomains: number;
  readonly engine: EngineModelSettings;
  /** Relative request rate of each team. */
  readonly teamRates: readonly number[];
  readonly shortBurst: Burst;
  readonly longBurst: Burst;
  readonly prefixesPerTeam: number;
}

export interface WorkloadSettings {
  readonly deployment: Deployment;
  /** Offered work over the work that the engines finish at saturation. */
  readonly load: number;
  readonly durationMs: number;
  readonly seed: number;
  /** Longest prompt; longer ones are drawn again. */
  readonly maxPromptTokens: number;
  /** Further requests of one team, as a share of the load. */
  readonly flood?: { readonly team: number; readonly load: number };
}

/** A request and when its caller means to send it. */
export interface PlannedRequest {
  readonly atMs: number;
  /** Entry VM that the balancer picks, as an index. */
  readonly entryVm: number;
  readonly contract: RequestContract;
  /** Answer's length; the engine stops there. */
  readonly outputTokens: number;
}
