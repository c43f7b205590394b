export { EntryProcess } from './runtime/entry-process.js';
export { StateMachineRunner } from './runtime/state-machine-runner.js';
export type { EffectHandlers } from './runtime/effects/types.js';
export { loadSettings } from './settings/load-settings.js';
export { settingsSchema, type EntrySettings } from './settings/schema.js';
export { FrameCodec } from './links/frame-codec.js';
export { GatewayProcess } from './gateway/gateway-process.js';
export type * from './gateway/types.js';
export type * from './gateway/store/types.js';
