export { createDemoHead, DEMO_CREDENTIAL, type DemoPorts } from './demo/declarations.js';
export { startEntry, startStandIn, type StartedProcess } from './process/child-process.js';
