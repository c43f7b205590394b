import { createFakeClock } from '../world/clock.js';
import { Fleet } from './fleet/fleet.js';
import { measureRun, type RunSummary } from './fleet/summary.js';
import type { Fault, FleetReport, FleetSettings } from './fleet/types.js';
import { deployments, type DeploymentName } from './workload/deployments.js';
import type { ExperimentOptions } from './types.js';

const MS_PER_MINUTE = 60_000;

/** Longest prompt of the experiments: what one engine's memory holds beside its answer. */
const MAX_PROMPT_TOKENS = 390_000;

/** One-way delay between entry VMs and endpoints, in milliseconds. */
const LINK_DELAY_MS = 1;

export interface FleetRun {
  readonly settings: FleetSettings;
  readonly report: FleetReport;
  readonly summary: RunSummary;
}

export interface FleetChoice {
  readonly router: FleetSettings['router'];
  readonly load: number;
  readonly slowdownWeight?: number;
  readonly faults?: readonly Fault[];
  readonly flood?: NonNullable<FleetSettings['workload']['flood']>;
}

/** Runs one fleet to its end on a paused clock. */
export const runFleet = (settings: FleetSettings): FleetRun => {
  const clock = createFakeClock();
  try {
    const report = new Fleet(settings).run((ms) => clock.advance(ms));
    return { settings, report, summary: measureRun(settings, report) };
  } finally {
    clock.uninstall();
  }
};

/** Runs the same choice once for each seed. */
export const runSeeds = (options: ExperimentOptions, choice: FleetChoice): FleetRun[] => {
  const deployment = deployments[options.deployment as DeploymentName];
  return Array.from({ length: options.seeds }, (_, index) =>
    runFleet({
      workload: {
        deployment,
        load: choice.load,
        durationMs: options.minutes * MS_PER_MINUTE,
        seed: options.seed + index,
        maxPromptTokens: MAX_PROMPT_TOKENS,
        ...(choice.flood === undefined ? {} : { flood: choice.flood }),
      },
      router: choice.router,
      slowdownWeight: choice.slowdownWeight ?? 0.5,
      linkDelayMs: LINK_DELAY_MS,
      faults: choice.faults ?? [],
    }),
  );
};
