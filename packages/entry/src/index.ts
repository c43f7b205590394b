export { EntryProcess } from './runtime/entry-process.js';
export { NodeRunner, type EffectHandlers } from './runtime/node-runner.js';
export { loadSettings } from './settings/load-settings.js';
export { settingsSchema, type EntrySettings } from './settings/schema.js';
