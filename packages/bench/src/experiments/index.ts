import { runFaults } from './faults.js';
import { runKeptPrefixes } from './kept-prefixes.js';
import { runTeamOverload } from './team-overload.js';
import { runNodeCosts } from './node-costs.js';
import { runPolicies } from './policies.js';
import { runPresets } from './presets.js';
import { runScale } from './scale.js';
import { runSnapshotTraffic } from './snapshot-traffic/run-snapshot-traffic.js';
import type { RunExperiment } from './types.js';

/** Experiments that run without separate processes, by their command-line name. */
export const inProcessExperiments: Readonly<Record<string, RunExperiment>> = {
  policies: runPolicies,
  faults: runFaults,
  presets: runPresets,
  flood: runTeamOverload,
  scale: runScale,
  'node-costs': runNodeCosts,
  'kept-prefixes': runKeptPrefixes,
  'snapshot-traffic': runSnapshotTraffic,
};
