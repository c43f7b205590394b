import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { MemberCluster } from './member-cluster.js';

const SETTLE_MS = 60_000;
const MS_PER_S = 1_000;
const REPLACEMENT_PAUSE_MS = 5_000;

const args = await yargs(hideBin(process.argv))
  .option('nodes', { type: 'number', array: true, default: [9, 50, 330] })
  .option('domains', { type: 'number', array: true, default: [3, 5, 14] })
  .option('seconds', { type: 'number', default: 120, describe: 'time measured, on the fake clock' })
  .option('replacements', { type: 'number', default: 9 })
  .option('seed', { type: 'number', default: 1 })
  .strict()
  .parse();

/** Averages over all entry VMs of one cluster, per second of its clock. */
interface Figures {
  readonly sentBytesPerS: number;
  readonly receivedBytesPerS: number;
  readonly listBytesPerS: number;
  readonly framesPerS: number;
  readonly processorShare: number;
}

const readFigures = (cluster: MemberCluster, seconds: number): Figures => {
  const members = cluster.listRunning();
  const average = (read: (member: (typeof members)[number]) => number): number =>
    members.reduce((sum, member) => sum + read(member), 0) / members.length / seconds;
  return {
    sentBytesPerS: average(({ cost }) => cost.sentBytes),
    receivedBytesPerS: average(({ cost }) => cost.receivedBytes),
    listBytesPerS: average(({ cost }) => cost.listBytes),
    framesPerS: average(({ cost }) => cost.sentFrames),
    processorShare: average(({ cost }) => cost.processorMs) / MS_PER_S,
  };
};

const createCluster = (nodes: number, domains: number): MemberCluster => {
  const cluster = new MemberCluster(args.seed);
  for (let index = 0; index < nodes; index += 1) {
    cluster.start(`entry-${index}`, `domain-${index % domains}`);
  }
  cluster.advance(SETTLE_MS);
  return cluster;
};

const resetCosts = (cluster: MemberCluster): void =>
  cluster.listRunning().forEach((member) => member.resetCost());

/** Replaces entry VMs one after another. @returns bytes a node sends more for each */
const measureReplacement = (cluster: MemberCluster, domains: number, steady: Figures): number => {
  resetCosts(cluster);
  for (let index = 0; index < args.replacements; index += 1) {
    cluster.kill(`entry-${index}`);
    cluster.start(`entry-${index}`, `domain-${index % domains}`);
    cluster.advance(REPLACEMENT_PAUSE_MS);
  }
  const seconds = (args.replacements * REPLACEMENT_PAUSE_MS) / MS_PER_S;
  const { sentBytesPerS } = readFigures(cluster, seconds);
  return ((sentBytesPerS - steady.sentBytesPerS) * seconds) / args.replacements;
};

const round = (value: number, digits = 1): number => Number(value.toFixed(digits));

args.nodes.forEach((nodes, index) => {
  const domains = args.domains[index] ?? 1;
  const cluster = createCluster(nodes, domains);
  resetCosts(cluster);
  cluster.advance(args.seconds * MS_PER_S);
  const figures = readFigures(cluster, args.seconds);
  const links = cluster.listRunning().map(({ linked }) => linked.size);
  const row = {
    nodes,
    domains,
    linksMean: round(links.reduce((sum, count) => sum + count, 0) / nodes),
    linksMax: Math.max(...links),
    framesPerS: round(figures.framesPerS, 2),
    sentBytesPerS: round(figures.sentBytesPerS),
    receivedBytesPerS: round(figures.receivedBytesPerS),
    listBytesPerS: round(figures.listBytesPerS),
    processorPercent: round(figures.processorShare * 100, 4),
    bytesPerReplacement: round(measureReplacement(cluster, domains, figures)),
  };
  process.stdout.write(`${JSON.stringify(row)}\n`);
});
