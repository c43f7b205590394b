/** Child processes, fake clock and simulations for tests and measurements. */
export { startEntry, startStandIn, type StartedProcess } from './process/child-process.js';
export { createFakeClock, type FakeClock } from './world/clock.js';
export { createEntryVmDomains, createSmallConfiguration } from './world/deployments.js';
export { RELIABLE_NETWORK, type NetworkSettings } from './world/network.js';
export { runRandomised, runSteps } from './world/randomised-run.js';
export { Simulation, type SimulationOptions } from './world/world.js';
export { PLATFORM, SimulatedCluster } from './cluster/simulated-cluster.js';
export type { ClusterMember, MemberUsage } from './cluster/cluster-member.js';
