import type { EngineSimulatorSettings } from '@savorywind/stand-ins';
import type { RequestContract } from '@savorywind/model';

/** Periodic bursts of one class of requests. They do not change the mean rate over an interval. */
export interface Burst {
  /** Time from the start of one burst to the start of the next. */
  readonly intervalMs: number;
  /** Duration of one burst. */
  readonly burstMs: number;
  /** Arrival rate within a burst divided by the mean rate. */
  readonly rateFactor: number;
}

/** Size of a fleet, its simulated engines, and the traffic of its callers. */
export interface Deployment {
  readonly name: string;
  readonly engines: number;
  readonly serviceReplicas: number;
  readonly entryVms: number;
  readonly failureDomains: number;
  readonly engine: EngineSimulatorSettings;
  /** Relative request rate of each team. */
  readonly teamRates: readonly number[];
  /** Bursts of all requests other than long prompts. */
  readonly shortBurst: Burst;
  /** Bursts of long prompts. */
  readonly longBurst: Burst;
  /** Number of distinct prompt prefixes that the requests of one team share. */
  readonly prefixesPerTeam: number;
}

/** Settings from which the requests of a run are drawn. */
export interface WorkloadSettings {
  readonly deployment: Deployment;
  /** Offered work divided by the work that the engines complete at saturation. */
  readonly load: number;
  readonly durationMs: number;
  readonly seed: number;
  /** Longest prompt; a longer one is drawn again. */
  readonly maxPromptTokens: number;
  /** Additional requests of one team, by its index; this `load` comes on top of the one above. */
  readonly extraLoad?: { readonly team: number; readonly load: number };
}

/** A request with its planned arrival. */
export interface PlannedRequest {
  readonly arrivalMs: number;
  /** Index of the entry VM that the load balancer picks. */
  readonly entryVmIndex: number;
  readonly contract: RequestContract;
  /** Length of the output; the engine stops after it. */
  readonly outputTokens: number;
}
