/**
 * Measures links, traffic and processor time of membership for several fleet sizes, in a steady
 * state and while entry VMs are replaced. Prints one line of JSON per size.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { SimulatedCluster } from './simulated-cluster.js';

/** Time for a new cluster to reach a steady state. */
const CONVERGENCE_MS = 60_000;
const MS_PER_S = 1_000;
const REPLACEMENT_INTERVAL_MS = 5_000;

const args = await yargs(hideBin(process.argv))
  .option('nodes', { type: 'number', array: true, default: [9, 50, 330] })
  .option('domains', { type: 'number', array: true, default: [3, 5, 14] })
  .option('seconds', {
    type: 'number',
    default: 120,
    describe: 'measured time on the simulated clock',
  })
  .option('replacements', { type: 'number', default: 9 })
  .option('seed', { type: 'number', default: 1 })
  .strict()
  .parse();

/** Means over all entry VMs of one cluster, per second of its clock. */
interface Figures {
  readonly sentBytesPerS: number;
  readonly receivedBytesPerS: number;
  readonly listBytesPerS: number;
  readonly framesPerS: number;
  readonly processorFraction: number;
}

const readFigures = (cluster: SimulatedCluster, seconds: number): Figures => {
  const members = cluster.listRunning();
  const computeMeanPerS = (read: (member: (typeof members)[number]) => number): number =>
    members.reduce((sum, member) => sum + read(member), 0) / members.length / seconds;
  return {
    sentBytesPerS: computeMeanPerS(({ usage }) => usage.sentBytes),
    receivedBytesPerS: computeMeanPerS(({ usage }) => usage.receivedBytes),
    listBytesPerS: computeMeanPerS(({ usage }) => usage.listBytes),
    framesPerS: computeMeanPerS(({ usage }) => usage.sentFrames),
    processorFraction: computeMeanPerS(({ usage }) => usage.processorMs) / MS_PER_S,
  };
};

const createCluster = (nodes: number, domains: number): SimulatedCluster => {
  const cluster = new SimulatedCluster(args.seed);
  for (let index = 0; index < nodes; index += 1) {
    cluster.start(`entry-${index}`, `domain-${index % domains}`);
  }
  cluster.advance(CONVERGENCE_MS);
  return cluster;
};

const resetAllUsage = (cluster: SimulatedCluster): void =>
  cluster.listRunning().forEach((member) => member.resetUsage());

/**
 * Replaces entry VMs one after another.
 *
 * @returns additional bytes sent per entry VM and replacement, compared with the steady state
 */
const measureReplacement = (
  cluster: SimulatedCluster,
  domains: number,
  steady: Figures,
): number => {
  resetAllUsage(cluster);
  for (let index = 0; index < args.replacements; index += 1) {
    cluster.kill(`entry-${index}`);
    cluster.start(`entry-${index}`, `domain-${index % domains}`);
    cluster.advance(REPLACEMENT_INTERVAL_MS);
  }
  const seconds = (args.replacements * REPLACEMENT_INTERVAL_MS) / MS_PER_S;
  const { sentBytesPerS } = readFigures(cluster, seconds);
  return ((sentBytesPerS - steady.sentBytesPerS) * seconds) / args.replacements;
};

const round = (value: number, digits = 1): number => Number(value.toFixed(digits));

args.nodes.forEach((nodes, index) => {
  const domains = args.domains[index] ?? 1;
  const cluster = createCluster(nodes, domains);
  resetAllUsage(cluster);
  cluster.advance(args.seconds * MS_PER_S);
  const figures = readFigures(cluster, args.seconds);
  const links = cluster.listRunning().map(({ linkCodecs }) => linkCodecs.size);
  const row = {
    nodes,
    domains,
    linksMean: round(links.reduce((sum, count) => sum + count, 0) / nodes),
    linksMax: Math.max(...links),
    framesPerS: round(figures.framesPerS, 2),
    sentBytesPerS: round(figures.sentBytesPerS),
    receivedBytesPerS: round(figures.receivedBytesPerS),
    listBytesPerS: round(figures.listBytesPerS),
    processorPercent: round(figures.processorFraction * 100, 4),
    bytesPerReplacement: round(measureReplacement(cluster, domains, figures)),
  };
  process.stdout.write(`${JSON.stringify(row)}\n`);
});
