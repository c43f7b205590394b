import { runFaults } from './faults.js';
import { runFlood } from './flood.js';
import { runNodeCosts } from './node-costs.js';
import { runPolicies } from './policies.js';
import { runPresets } from './presets.js';
import { runScale } from './scale.js';
import type { RunExperiment } from './types.js';

/** Experiments of the policies, by name. */
export const policyExperiments: Readonly<Record<string, RunExperiment>> = {
  policies: runPolicies,
  faults: runFaults,
  presets: runPresets,
  flood: runFlood,
  scale: runScale,
  'node-costs': runNodeCosts,
};
