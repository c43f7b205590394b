import { createFakeClock } from '../simulation/fake-clock.js';
import { Fleet } from './fleet/fleet.js';
import { measureRun, type RunSummary } from './fleet/summary.js';
import type { Fault, FleetReport, FleetSettings } from './fleet/types.js';
import { deployments, type DeploymentName } from './workload/deployments.js';
import type { ExperimentOptions } from './types.js';

const MS_PER_MINUTE = 60_000;

/** Longest prompt that fits into the KV cache of one engine (400,000 tokens) with its output. */
const MAX_PROMPT_TOKENS = 390_000;

/** One-way network delay between entry VMs, and between them and endpoints. */
const LINK_DELAY_MS = 1;

/** A finished run with its settings and figures. */
export interface FleetRun {
  readonly settings: FleetSettings;
  readonly report: FleetReport;
  readonly summary: RunSummary;
}

/** Settings in which the runs of an experiment differ; omitted ones take the defaults. */
export interface FleetVariant {
  readonly router: FleetSettings['router'];
  readonly load: number;
  readonly slowdownWeight?: number;
  readonly faults?: readonly Fault[];
  readonly extraLoad?: NonNullable<FleetSettings['workload']['extraLoad']>;
}

/** Simulates one fleet to completion on a fake clock. */
export const runFleet = (settings: FleetSettings): FleetRun => {
  const clock = createFakeClock();
  try {
    const report = new Fleet(settings).run((ms) => clock.advance(ms));
    return { settings, report, summary: measureRun(settings, report) };
  } finally {
    clock.uninstall();
  }
};

/** Runs one variant once per seed. */
export const runSeeds = (options: ExperimentOptions, variant: FleetVariant): FleetRun[] => {
  const deployment = deployments[options.deployment as DeploymentName];
  return Array.from({ length: options.seeds }, (_, index) =>
    runFleet({
      workload: {
        deployment,
        load: variant.load,
        durationMs: options.minutes * MS_PER_MINUTE,
        seed: options.seed + index,
        maxPromptTokens: MAX_PROMPT_TOKENS,
        ...(variant.extraLoad === undefined ? {} : { extraLoad: variant.extraLoad }),
      },
      router: variant.router,
      slowdownWeight: variant.slowdownWeight ?? 0.5,
      linkDelayMs: LINK_DELAY_MS,
      faults: variant.faults ?? [],
    }),
  );
};
