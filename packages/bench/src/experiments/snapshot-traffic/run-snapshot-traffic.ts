import { formatNumber } from '../format-numbers.js';
import type { RunExperiment, TableRow } from '../types.js';
import { GatewayFleet, type SnapshotTraffic } from './gateway-fleet.js';

const MS_PER_S = 1_000;
const BITS_PER_BYTE = 8;
const BITS_PER_MBIT = 1_000_000;
const MS_PER_MINUTE = 60_000;

/** Time until the load is constant, before anything is counted. */
const WARM_UP_MS = 3_000;

/** Longest counted time of one run; the largest fleet takes a minute of processor time for it. */
const MAX_DURATION_MS = 4_000;

const FLEETS = [
  { entryVms: 9, engines: 23, failureDomains: 3, requestsPerS: 40 },
  { entryVms: 87, engines: 78, failureDomains: 4, requestsPerS: 150 },
  { entryVms: 87, engines: 78, failureDomains: 4, requestsPerS: 400 },
  { entryVms: 330, engines: 1_500, failureDomains: 14, requestsPerS: 660 },
];

const formatMedianAndMost = (values: readonly number[]): string => {
  const sorted = [...values].sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)] ?? NaN;
  return `${formatNumber(median)}, ${formatNumber(sorted.at(-1) ?? NaN)}`;
};

/**
 * Measures what the gateways of a fleet send each other about their work, for several fleet sizes. Each
 * figure is the median of the entry VMs and the most of any.
 */
export const runSnapshotTraffic: RunExperiment = ({ seed, minutes, onProgress }) => {
  const durationMs = Math.min(minutes * MS_PER_MINUTE, MAX_DURATION_MS);
  const rows = FLEETS.map((options): TableRow => {
    const fleet = new GatewayFleet({ ...options, seed });
    fleet.run(WARM_UP_MS);
    fleet.resetTraffic();
    fleet.run(durationMs);
    const seconds = durationMs / MS_PER_S;
    const list = (read: (traffic: SnapshotTraffic) => number): string =>
      formatMedianAndMost(fleet.traffic.map((traffic) => read(traffic) / seconds));
    const label = `${options.entryVms} entry VMs, ${options.engines} engines, ${options.requestsPerS} requests/s`;
    onProgress(label);
    return {
      label,
      cells: {
        'datagrams sent/s': list(({ sentDatagrams }) => sentDatagrams),
        'datagrams received/s': list(({ receivedDatagrams }) => receivedDatagrams),
        'Mbit/s sent': list(({ sentBytes }) => (sentBytes * BITS_PER_BYTE) / BITS_PER_MBIT),
      },
    };
  });
  return { rows, plots: [] };
};
