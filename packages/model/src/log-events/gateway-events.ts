import { defineEvents } from './define-events.js';

/** Events 800 to 899: the gateway. */
export const gatewayEvents = defineEvents({
  gatewayStarted: [801, 'info', 'gateway started'],
  gatewayReady: [802, 'info', 'gateway is ready'],
  gatewayNotReady: [803, 'warn', 'gateway is not ready'],
  gatewayStopped: [804, 'info', 'gateway stopped'],
  routesAdopted: [805, 'info', 'a new version of the configuration is in force'],
  storeLost: [806, 'warn', 'the store does not answer or refuses calls'],
  storeRegained: [807, 'info', 'the store answers again'],
  storeEntryUnreadable: [808, 'warn', 'an entry of the store cannot be decoded and is ignored'],
  endpointExcluded: [809, 'info', 'an endpoint was ejected and gets no new work for a while'],
  endpointForgotten: [810, 'info', 'an endpoint is no longer registered or was restarted'],
  gatewaySettingsInvalid: [
    811,
    'error',
    'reloaded settings are invalid; the settings in force stay in use',
  ],
  contractChanged: [812, 'info', 'the limits of the deployment were reloaded'],
  requestPlaced: [820, 'info', 'a request was placed on an endpoint'],
  callerLeft: [828, 'info', 'a caller disconnected before its answer was complete'],
  requestRepeated: [821, 'info', 'a request is retried, at another endpoint if there is one'],
  requestTurnedAway: [822, 'info', 'a request was refused by the gateway'],
  requestBrokenOff: [823, 'warn', 'an answer was ended before it was complete'],
  attemptFailed: [824, 'info', 'an attempt at an endpoint failed'],
  answerLate: [
    826,
    'info',
    'an answer exceeded the target latency or the permitted pause between events of its route',
  ],
  metricsNotShown: [829, 'warn', 'metrics cannot be served at their address'],
  endpointLimited: [830, 'info', 'an endpoint has named a limit of requests per second'],
  endpointLimitEnded: [831, 'info', 'an endpoint no longer names a limit of requests per second'],
  endpointLimitUnreadable: [
    832,
    'warn',
    'the limit of requests per second in the response of an endpoint cannot be decoded and is ignored',
  ],
  storeEraRaised: [833, 'warn', 'the store came back from an older copy of itself'],
  configurationBehind: [
    834,
    'warn',
    'the store shows an older version of the configuration; the one in force is kept',
  ],
  endpointNoticeUnreadable: [
    835,
    'warn',
    'what an endpoint says of leaving or of coming back cannot be decoded and is ignored',
  ],
  endpointLeavingNoted: [836, 'info', 'an endpoint has said in a response that it leaves'],
  endpointClosed: [
    837,
    'info',
    'an endpoint takes nothing from this VM for the time that it named',
  ],
  endpointReopened: [
    838,
    'info',
    'an endpoint that had named a time to come back takes requests again',
  ],
  endpointLeavingTold: [
    839,
    'info',
    'a peer says that an endpoint leaves; others are preferred to it',
  ],
  responseContinued: [
    840,
    'info',
    'a response that the caller has in part is continued with that of another endpoint',
  ],
  responseEndedByClose: [841, 'info', 'a response without a length ended with its connection'],
  requestsOpenAtStop: [
    842,
    'warn',
    'the time of the stopping gateway ended with requests open; each gets its final answer',
  ],
  unreadRequestRefused: [
    843,
    'info',
    'a request was refused because the gateway stops before its body has arrived',
  ],
  suspectBlocked: [
    844,
    'warn',
    'engines crashed under requests with this in common; such requests are refused',
  ],
  suspectTried: [
    845,
    'info',
    'a request with a blocked suspect is let through to see whether engines still crash under it',
  ],
  suspectAcquitted: [
    846,
    'info',
    'a suspect is no longer blocked: an answer has begun, another one explains its crashes, or they are old',
  ],
  logLinesDropped: [827, 'warn', 'log lines were dropped because the log reader was too slow'],
  peerUnreadable: [
    825,
    'warn',
    'a datagram of a peer cannot be decoded and is ignored, or the socket for peers failed',
  ],
  tableSourceChanged: [
    847,
    'info',
    'the tables of the store are read from another source, or are passed on to peers',
  ],
  tableSourceFailed: [
    848,
    'info',
    'a peer does not pass on the tables of the store; another source is used',
  ],
  tablesReadAgain: [
    849,
    'info',
    'after an outage or a cut the tables of the store are read again; how old they were',
  ],
});
