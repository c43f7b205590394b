import { defineEvents } from './define-events.js';

/** Events 300 to 399: configuration. */
export const configurationEvents = defineEvents({
  configurationAdopted: [301, 'info', 'configuration version is in force on this entry VM'],
  configurationStale: [
    302,
    'warn',
    'configuration could not be confirmed with the platform; the version in force stays in use',
  ],
  configurationRejected: [303, 'error', 'configuration version is invalid and was not adopted'],
  configurationWentBack: [
    304,
    'error',
    'table service has a lower version than this entry VM; the higher one stays in force',
  ],
  configurationConfirmed: [305, 'info', 'configuration is confirmed with the platform again'],
  changeCommitted: [306, 'info', 'configuration change committed'],
  changeRefused: [307, 'warn', 'configuration change refused'],
  changeRetried: [
    308,
    'warn',
    'platform did not answer a configuration change; its state is read back',
  ],
});
