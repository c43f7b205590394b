import { defineEvents } from './define-events.js';

/** Events 100 to 199: start and stop of the process. */
export const processEvents = defineEvents({
  processStarted: [101, 'info', 'entry VM started'],
  processReady: [102, 'info', 'entry VM is ready and accepts requests'],
  drainStarted: [103, 'info', 'drain started; entry VM accepts no new requests'],
  processStopped: [104, 'info', 'entry VM stopped with no request in flight'],
  settingsInvalid: [105, 'error', 'settings are not valid'],
  certificateReloaded: [106, 'info', 'certificate and key were reloaded'],
  certificateRejected: [
    107,
    'error',
    'certificate and key could not be reloaded; the previous ones stay in use',
  ],
});
