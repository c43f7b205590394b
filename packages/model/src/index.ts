export * from './codes/index.js';
export {
  parseConfiguration,
  type ConfigurationFault,
} from './configuration/parse-configuration.js';
export { buildDeclarationsSchema } from './configuration/build-declarations-schema.js';
export * from './configuration/configuration-difference.js';
export * from './configuration/head-row.js';
export * from './configuration/diff-configurations.js';
export * from './configuration/schema.js';
export * from './log-events/index.js';
export * from './messages/membership-messages.js';
export type * from './messages/request-messages.js';
export type * from './messages/routing-messages.js';
export type * from './messages/types.js';
export * from './platform/types.js';
export { Err, None, Ok, Some, type Option, type Result } from './results/results.js';
export { PREFIX_BLOCK_TOKENS } from './entities/prefix-blocks.js';
export type * from './entities/types.js';
export type * from './gateway/types.js';
