import type {
  AvailabilityUsage,
  ColdUsage,
  EvacuationUsage,
  ForwardingUsage,
  LimitUsage,
  PathUsage,
} from '@savorywind/decisions';
import type { Gauge } from '../../observe/render-metrics.js';
import type { PeerTraffic } from '../peer-socket.js';

const MS_PER_S = 1_000;

export interface ControlLoad {
  readonly traffic: Readonly<PeerTraffic>;
  readonly linkBytesPerMs: number;
  readonly limits: LimitUsage;
  readonly cold: ColdUsage;
  readonly availability: AvailabilityUsage;
  readonly evacuation: EvacuationUsage;
  readonly paths: readonly PathUsage[];
  readonly forwarding: ForwardingUsage;
  /** How often the store has come back from an older copy of itself. */
  readonly storeEras: number;
  /** By how much a timer was late at most since the last reading, in milliseconds. */
  readonly longestTimerDelayMs: number;
}

const listAvailabilityGauges = ({
  unavailable,
  departures,
  closures,
  unreadable,
}: AvailabilityUsage): Gauge[] => [
  {
    metric: 'savorywind_leaving_endpoints',
    help: 'Registered endpoints that leave, by their registration or by a response to this VM.',
    value: unavailable.leaving,
  },
  {
    metric: 'savorywind_evacuated_endpoints',
    help: 'Registered endpoints in failure domains that are evacuated.',
    value: unavailable.evacuated,
  },
  {
    metric: 'savorywind_closed_endpoints',
    help: 'Endpoints that have named to this VM a time to come back that is not over.',
    value: unavailable.closed,
  },
  {
    metric: 'savorywind_returning_endpoints',
    help: 'Endpoints whose time to come back is over and that answer the first requests after it.',
    value: unavailable.returning,
  },
  {
    metric: 'savorywind_endpoint_departures_total',
    help: 'Endpoints that have said in a response to this VM that they leave.',
    type: 'counter',
    value: departures,
  },
  {
    metric: 'savorywind_endpoint_closures_total',
    help: 'Times to come back that endpoints have named to this VM.',
    type: 'counter',
    value: closures,
  },
  {
    metric: 'savorywind_unreadable_notices_total',
    help: 'Fields of responses about leaving or coming back that could not be decoded.',
    type: 'counter',
    value: unreadable,
  },
];

const listEvacuationGauges = ({ domains, attempts }: EvacuationUsage): Gauge[] => [
  {
    metric: 'savorywind_evacuated_domain_seconds',
    help: 'Time since this VM knows that a failure domain is evacuated.',
    value: domains.map(({ domain, evacuatedForMs }) => ({
      labels: { domain },
      value: evacuatedForMs / MS_PER_S,
    })),
  },
  {
    metric: 'savorywind_attempts_in_evacuated_domains',
    help: 'Attempts of this VM that go on at endpoints of evacuated failure domains, helpers included.',
    value: attempts,
  },
];

const listColdGauges = ({ coldEndpoints, attempts, coldForMs }: ColdUsage): Gauge[] => [
  {
    metric: 'savorywind_cold_endpoints',
    help: 'Endpoints that are cold, as far as this VM knows.',
    value: coldEndpoints,
  },
  {
    metric: 'savorywind_endpoints_cold_seconds',
    help: 'Longest time for which an endpoint stays cold; 0 if none is.',
    value: coldForMs / MS_PER_S,
  },
  {
    metric: 'savorywind_attempts_at_cold_endpoints_total',
    help: 'Attempts that this VM has started at endpoints while they were cold.',
    type: 'counter',
    value: attempts,
  },
];

const sumUp = (paths: readonly PathUsage[], read: (usage: PathUsage) => number): number =>
  paths.reduce((sum, usage) => sum + read(usage), 0);

const listPathGauges = (paths: readonly PathUsage[]): Gauge[] => [
  {
    metric: 'savorywind_lost_endpoint_paths',
    help: 'Services none of whose endpoints this VM can connect to.',
    value: paths.filter(({ isLost }) => isLost).length,
  },
  {
    metric: 'savorywind_endpoint_path_lost_seconds',
    help: 'Time since this VM could last connect to an endpoint of a service: the longest of all services.',
    value: Math.max(0, ...paths.map(({ lostForMs }) => lostForMs)) / MS_PER_S,
  },
  {
    metric: 'savorywind_endpoint_path_losses_total',
    help: 'How often this VM could no longer connect to any endpoint of a service.',
    type: 'counter',
    value: sumUp(paths, ({ losses }) => losses),
  },
  {
    metric: 'savorywind_endpoint_probes_total',
    help: 'Connections that this VM has opened, or tried to open, only to see whether there is a path.',
    type: 'counter',
    value: sumUp(paths, ({ probes }) => probes),
  },
];

const listForwardingGauges = ({ forwarded, received }: ForwardingUsage): Gauge[] => [
  {
    metric: 'savorywind_requests_forwarded_total',
    help: 'Requests that this VM has forwarded to peers; one counts again for each peer.',
    type: 'counter',
    value: forwarded,
  },
  {
    metric: 'savorywind_forwarded_requests_received_total',
    help: 'Requests that peers have forwarded to this VM.',
    type: 'counter',
    value: received,
  },
];

/**
 * Lists what shows whether control work delays requests: the traffic with peers beside the rate of the
 * link, the limits of endpoints, the eras of the store, and how long events wait for the process.
 */
export const listControlGauges = (load: ControlLoad): Gauge[] => [
  {
    metric: 'savorywind_peer_bytes_sent_total',
    help: 'Bytes of datagrams sent to other entry VMs, without network headers.',
    type: 'counter',
    value: load.traffic.sentBytes,
  },
  {
    metric: 'savorywind_peer_bytes_received_total',
    help: 'Bytes of datagrams received from other entry VMs, without network headers.',
    type: 'counter',
    value: load.traffic.receivedBytes,
  },
  {
    metric: 'savorywind_link_bytes_per_second',
    help: 'Rate of the network link of this VM in each direction, from the settings.',
    value: load.linkBytesPerMs * MS_PER_S,
  },
  {
    metric: 'savorywind_limited_endpoints',
    help: 'Endpoints that have named a limit of requests per second.',
    value: load.limits.limitedEndpoints,
  },
  {
    metric: 'savorywind_attempts_at_limited_endpoints_total',
    help: 'Attempts that this VM has started at endpoints while they had a limit.',
    type: 'counter',
    value: load.limits.attempts,
  },
  ...listColdGauges(load.cold),
  ...listAvailabilityGauges(load.availability),
  ...listEvacuationGauges(load.evacuation),
  ...listPathGauges(load.paths),
  ...listForwardingGauges(load.forwarding),
  {
    metric: 'savorywind_store_eras_total',
    help: 'How often the store has come back from an older copy of itself, as seen by this VM.',
    type: 'counter',
    value: load.storeEras,
  },
  {
    metric: 'savorywind_longest_timer_delay_seconds',
    help: 'Longest time by which a timer was late since the last reading of the metrics.',
    value: load.longestTimerDelayMs / MS_PER_S,
  },
];
