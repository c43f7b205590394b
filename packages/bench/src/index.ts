/** Child processes, fake clock and simulations for tests and measurements. */
export { startEntry, startStandIn, type StartedProcess } from './process/child-process.js';
export { createFakeClock, type FakeClock } from './simulation/fake-clock.js';
export { createEntryVmDomains, createSmallConfiguration } from './simulation/deployments.js';
export { RELIABLE_NETWORK, type NetworkSettings } from './simulation/fake-network.js';
export { runRandomised, runSteps } from './simulation/randomised-run.js';
export { Simulation, type SimulationOptions } from './simulation/simulation.js';
export { PLATFORM, SimulatedCluster } from './cluster/simulated-cluster.js';
export type { ClusterMember, MemberUsage } from './cluster/cluster-member.js';
