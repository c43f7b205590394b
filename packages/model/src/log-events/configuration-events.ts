import { defineEvents } from './define-events.js';

/** 300 to 399: configuration. */
export const configurationEvents = defineEvents({
  configurationAdopted: [301, 'info', 'configuration version is in force on this entry VM'],
  configurationStale: [302, 'warn', 'configuration could not be confirmed with the platform'],
  configurationRejected: [303, 'error', 'configuration in the table service is not valid'],
});
