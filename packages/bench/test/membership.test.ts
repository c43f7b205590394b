import { describe, expect, it } from 'vitest';
import { PLATFORM } from '../src/cluster/member-cluster.js';
import { createCluster, formatDomain, formatVmId, listViews } from './fixtures/member-cluster.js';

const TODAY = { domains: 3, perDomain: 3 };
const LARGE = { domains: 6, perDomain: 8 };

/** Longest time until all know that an entry VM fell silent. */
const SUSPICION_MS = 6_000;

/** Longest time until all know of an entry VM that ended, or that came. */
const NEWS_MS = 10_000;

/** What an entry VM may send for control in all. */
const CONTROL_BYTES_PER_S = 3_000;

const victim = formatVmId(1, 1);

const listIds = ({ domains, perDomain }: typeof TODAY): string[] =>
  Array.from({ length: domains * perDomain }, (_, index) =>
    formatVmId(Math.floor(index / perDomain), index % perDomain),
  ).sort();

describe('membership of entry VMs', () => {
  it.each([TODAY, LARGE])('lets all find each other: $domains domains of $perDomain', (size) => {
    const cluster = createCluster(size);
    const views = listViews(cluster);
    expect(views.size).toBe(size.domains * size.perDomain);
    views.forEach((view) => expect(view).toEqual(listIds(size)));
  });

  it('notices at once that a process ended, and takes its next incarnation', () => {
    const cluster = createCluster(TODAY);
    cluster.kill(victim);
    cluster.advance(10);
    listViews(cluster).forEach((view) => expect(view).not.toContain(victim));
    const { incarnation } = cluster.start(victim, formatDomain(1)).vm;
    cluster.advance(NEWS_MS);
    cluster.listRunning().forEach((member) => {
      const seen = member.readMembership().live.find(({ id }) => id === victim);
      expect(seen?.incarnation).toBe(incarnation);
    });
  });

  it.each([TODAY, LARGE])('suspects a frozen process: $domains domains of $perDomain', (size) => {
    const cluster = createCluster(size);
    cluster.freeze(victim);
    cluster.advance(SUSPICION_MS);
    const near = [...listViews(cluster)].filter(([id]) => id.startsWith('entry-1'));
    expect(near).toHaveLength(size.perDomain - 1);
    near.forEach(([, view]) => expect(view).not.toContain(victim));
  });

  it('takes a process that wakes up for live again, which suspects nobody itself', () => {
    const cluster = createCluster(TODAY);
    cluster.freeze(victim);
    cluster.advance(60_000);
    cluster.wake(victim);
    expect(cluster.find(victim).logged).not.toContain('peerLost');
    cluster.advance(NEWS_MS);
    listViews(cluster).forEach((view) => expect(view).toEqual(listIds(TODAY)));
  });

  it('never takes leaving back, whatever the list says and with the platform down', () => {
    const cluster = createCluster(TODAY);
    cluster.list = undefined;
    cluster.freeze(formatVmId(0, 0));
    cluster.drain(victim);
    cluster.advance(10);
    cluster.wake(formatVmId(0, 0));
    cluster.list = listIds(TODAY).map((id) => ({ vm: cluster.find(id).vm, state: 'live' }));
    cluster.advance(NEWS_MS);
    listViews(cluster).forEach((view) => expect(view).not.toContain(victim));
  });

  it('keeps all members through a long outage of the platform', () => {
    const cluster = createCluster(TODAY);
    cluster.list = undefined;
    cluster.advance(600_000);
    listViews(cluster).forEach((view) => expect(view).toEqual(listIds(TODAY)));
  });

  it('spreads a newcomer that one entry VM knows of, with the platform cut off elsewhere', () => {
    const cluster = createCluster(TODAY);
    cluster.cut(formatDomain(0), PLATFORM);
    cluster.cut(formatDomain(2), PLATFORM);
    cluster.start('entry-1-9', formatDomain(1));
    cluster.advance(NEWS_MS);
    listViews(cluster).forEach((view) => expect(view).toContain('entry-1-9'));
  });

  it.each([TODAY, LARGE])('joins again after a cut: $domains domains of $perDomain', (size) => {
    const cluster = createCluster(size);
    const alone = formatDomain(1);
    for (let domain = 0; domain < size.domains; domain += 1) {
      if (domain !== 1) cluster.cut(alone, formatDomain(domain));
    }
    cluster.cut(alone, PLATFORM);
    cluster.advance(600_000);
    const own = listIds(size).filter((id) => id.startsWith('entry-1'));
    expect(listViews(cluster).get(victim)).toEqual(expect.arrayContaining(own));
    cluster.healAll();
    cluster.advance(180_000);
    listViews(cluster).forEach((view) => expect(view).toEqual(listIds(size)));
  });

  it.each([TODAY, LARGE])('joins again without a storm: $domains domains of $perDomain', (size) => {
    const cluster = createCluster(size);
    for (let domain = 1; domain < size.domains; domain += 1) {
      cluster.cut(formatDomain(0), formatDomain(domain));
    }
    cluster.cut(formatDomain(0), PLATFORM);
    cluster.kill(victim);
    cluster.start('entry-0-9', formatDomain(0));
    cluster.advance(300_000);
    cluster.healAll();
    const seconds = 10;
    cluster.listRunning().forEach((member) => member.resetCost());
    cluster.advance(seconds * 1_000);
    cluster.listRunning().forEach(({ cost }) => {
      expect(cost.sentBytes / seconds).toBeLessThan(CONTROL_BYTES_PER_S);
    });
  });

  it('keeps the links of an entry VM to its own failure domain and a few others', () => {
    const cluster = createCluster(LARGE);
    const counts = cluster.listRunning().map(({ linked }) => linked.size);
    const crossing = counts.reduce((sum, count) => sum + count - (LARGE.perDomain - 1), 0);
    const pairs = (LARGE.domains * (LARGE.domains - 1)) / 2;
    expect(Math.min(...counts)).toBeGreaterThanOrEqual(LARGE.perDomain - 1);
    expect(crossing).toBeLessThanOrEqual(pairs * 2 * 2);
  });

  it.each([TODAY, LARGE])('survives an empty list: $domains domains of $perDomain', (size) => {
    const cluster = createCluster(size);
    cluster.list = [];
    cluster.advance(400_000);
    listViews(cluster).forEach((view) => expect(view).toEqual(listIds(size)));
  });
});
