import { DEFAULT_ROUTER } from '@savorywind/decisions';
import { createFakeClock } from '../simulation/fake-clock.js';
import { Fleet } from './fleet/fleet.js';
import { formatNumber } from './format-numbers.js';
import type { PlotPoint, RunExperiment, TableRow } from './types.js';
import { deployments } from './workload/deployments.js';
import type { Deployment } from './workload/types.js';

const MS_PER_MINUTE = 60_000;

const BYTES_PER_MB = 1_048_576;

const LOAD = 0.8;

/** Size of a simulated fleet. */
interface ScaleCase {
  readonly name: string;
  readonly engines: number;
  readonly entryVms: number;
  readonly failureDomains: number;
  readonly teams: number;
  /** Offered load; the request rate follows from it and from the number of engines. */
  readonly load: number;
}

const BASE: ScaleCase = {
  name: 'base',
  engines: 15,
  entryVms: 9,
  failureDomains: 3,
  teams: 10,
  load: LOAD,
};

/**
 * Each case changes one size of the base; two with many engines also lower the load. The last two
 * cases are one failure domain and the whole fleet.
 */
const CASES: readonly ScaleCase[] = [
  BASE,
  { ...BASE, name: '100 engines', engines: 100 },
  { ...BASE, name: '400 engines, load 0.2', engines: 400, load: 0.2 },
  { ...BASE, name: '1,500 engines, load 0.05', engines: 1_500, load: 0.05 },
  { ...BASE, name: '50 entry VMs', entryVms: 50 },
  { ...BASE, name: '490 teams', teams: 490 },
  { ...BASE, name: 'half the request rate', load: LOAD / 2 },
  { ...BASE, name: '24 entry VMs of one domain', entryVms: 24, failureDomains: 1 },
  {
    ...BASE,
    name: 'one domain of 14: 107 engines, 24 entry VMs',
    engines: 107,
    entryVms: 24,
    failureDomains: 1,
    teams: 490,
  },
  {
    ...BASE,
    name: 'whole: 1,500 engines, 330 entry VMs, 14 domains, 490 teams, load 0.1',
    engines: 1_500,
    entryVms: 330,
    failureDomains: 14,
    teams: 490,
    load: 0.1,
  },
];

const createDeployment = (scale: ScaleCase): Deployment => ({
  ...deployments.stuhlwerk,
  name: scale.name,
  engines: scale.engines,
  entryVms: scale.entryVms,
  failureDomains: scale.failureDomains,
  teamRates: Array.from({ length: scale.teams }, (_, index) => 1 / (index + 1)),
});

const readHeapBytes = (): number => {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
};

const findMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

interface ScaleRow {
  readonly row: TableRow;
  readonly points: readonly PlotPoint[];
}

const measureCase = (scale: ScaleCase, seed: number, minutes: number): ScaleRow => {
  const deployment = createDeployment(scale);
  const durationMs = minutes * MS_PER_MINUTE;
  const clock = createFakeClock();
  try {
    const fleet = new Fleet({
      workload: { deployment, load: scale.load, durationMs, seed, maxPromptTokens: 390_000 },
      router: DEFAULT_ROUTER,
      slowdownWeight: 0.5,
      linkDelayMs: 1,
      faults: [],
    });
    const beforeBytes = readHeapBytes();
    const report = fleet.run((ms) => clock.advance(ms));
    const heapMb = (readHeapBytes() - beforeBytes) / BYTES_PER_MB / scale.entryVms;
    const { nodes, results } = report;
    const p50 = findMean(nodes.map(({ decisionP50Us }) => decisionP50Us));
    const p99 = findMean(nodes.map(({ decisionP99Us }) => decisionP99Us));
    const linkBytes = findMean(nodes.map(({ linkBytesPerS }) => linkBytesPerS));
    const meanCoreFraction = findMean(nodes.map(({ coreFraction }) => coreFraction));
    const rate = results.length / (durationMs / 1_000) / scale.entryVms;
    const totalBytes = [...fleet.listBytesByKind().values()].reduce((sum, size) => sum + size, 0);
    const kinds = [...fleet.listBytesByKind()]
      .sort(([, a], [, b]) => b - a)
      .slice(0, 3)
      .map(([kind, size]) => {
        const bytesPerNode = (linkBytes * size) / totalBytes;
        return `${kind} ${formatNumber(bytesPerNode)}`;
      });
    const cells = {
      'requests/s a node': formatNumber(rate),
      'decision p50 µs': formatNumber(p50),
      'decision p99 µs': formatNumber(p99),
      'core % a node': formatNumber(meanCoreFraction * 100),
      'heap MB a node, engines and requests included': formatNumber(heapMb),
      'link B/s sent a node': formatNumber(linkBytes),
      'largest kinds, B/s': kinds.join('; '),
    };
    const points = [
      { series: scale.name, group: 'decision p50 µs', value: p50 },
      { series: scale.name, group: 'link B/s sent', value: linkBytes },
    ];
    return { row: { label: scale.name, cells }, points };
  } finally {
    clock.uninstall();
  }
};

/** Measures the processor time, memory and link traffic of an entry VM as the fleet grows. */
export const runScale: RunExperiment = ({ seed, minutes, deployment, onProgress }) => {
  // Simulating the whole fleet takes minutes; `--deployment domain` skips that case.
  const cases = deployment === 'domain' ? CASES.slice(0, -1) : CASES;
  const measured = cases.map((scale) => {
    const result = measureCase(scale, seed, minutes);
    onProgress(scale.name);
    return result;
  });
  const rows = measured.map(({ row }) => row);
  const points = measured.flatMap((result) => result.points);
  const plot = { title: 'Cost of an entry VM by size', valueTitle: 'µs, B/s', points };
  return { rows, plots: [plot] };
};
