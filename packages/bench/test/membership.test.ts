import { describe, expect, it } from 'vitest';
import { PLATFORM } from '../src/cluster/simulated-cluster.js';
import {
  createCluster,
  formatDomain,
  formatVmId,
  listLiveViews,
} from './fixtures/simulated-cluster.js';

const CURRENT_SIZE = { domains: 3, perDomain: 3 };
const LARGE_SIZE = { domains: 6, perDomain: 8 };

/** Longest time until the peers in its failure domain detect an unresponsive entry VM. */
const DETECTION_MS = 6_000;

/** Longest time until all entry VMs know of one that has joined, left or stopped. */
const PROPAGATION_MS = 10_000;

/** Budget of one entry VM for all control traffic. */
const CONTROL_BYTES_PER_S = 3_000;

const targetVm = formatVmId(1, 1);

const listIds = ({ domains, perDomain }: typeof CURRENT_SIZE): string[] =>
  Array.from({ length: domains * perDomain }, (_, index) =>
    formatVmId(Math.floor(index / perDomain), index % perDomain),
  ).sort();

describe('membership of entry VMs', () => {
  it.each([CURRENT_SIZE, LARGE_SIZE])(
    'lets all entry VMs discover each other: $domains domains of $perDomain',
    (size) => {
      const cluster = createCluster(size);
      const views = listLiveViews(cluster);
      expect(views.size).toBe(size.domains * size.perDomain);
      views.forEach((view) => expect(view).toEqual(listIds(size)));
    },
  );

  it('removes a stopped process immediately and accepts its next incarnation', () => {
    const cluster = createCluster(CURRENT_SIZE);
    cluster.kill(targetVm);
    cluster.advance(10);
    listLiveViews(cluster).forEach((view) => expect(view).not.toContain(targetVm));
    const { incarnation } = cluster.start(targetVm, formatDomain(1)).vm;
    cluster.advance(PROPAGATION_MS);
    cluster.listRunning().forEach((member) => {
      const liveMember = member.readMembership().live.find(({ id }) => id === targetVm);
      expect(liveMember?.incarnation).toBe(incarnation);
    });
  });

  it.each([CURRENT_SIZE, LARGE_SIZE])(
    'suspects a suspended process: $domains domains of $perDomain',
    (size) => {
      const cluster = createCluster(size);
      cluster.suspend(targetVm);
      cluster.advance(DETECTION_MS);
      const localViews = [...listLiveViews(cluster)].filter(([id]) => id.startsWith('entry-1'));
      expect(localViews).toHaveLength(size.perDomain - 1);
      localViews.forEach(([, view]) => expect(view).not.toContain(targetVm));
    },
  );

  it('treats a resumed process as live again, and the process suspects no peer itself', () => {
    const cluster = createCluster(CURRENT_SIZE);
    cluster.suspend(targetVm);
    cluster.advance(60_000);
    cluster.resume(targetVm);
    expect(cluster.findMember(targetVm).loggedEvents).not.toContain('peerLost');
    cluster.advance(PROPAGATION_MS);
    listLiveViews(cluster).forEach((view) => expect(view).toEqual(listIds(CURRENT_SIZE)));
  });

  it('does not add a draining entry VM again, even if a stale platform list shows it as live', () => {
    const cluster = createCluster(CURRENT_SIZE);
    cluster.membershipList = undefined;
    cluster.suspend(formatVmId(0, 0));
    cluster.drain(targetVm);
    cluster.advance(10);
    cluster.resume(formatVmId(0, 0));
    cluster.membershipList = listIds(CURRENT_SIZE).map((id) => ({
      vm: cluster.findMember(id).vm,
      state: 'live',
    }));
    cluster.advance(PROPAGATION_MS);
    listLiveViews(cluster).forEach((view) => expect(view).not.toContain(targetVm));
  });

  it('keeps all members during a long outage of the platform', () => {
    const cluster = createCluster(CURRENT_SIZE);
    cluster.membershipList = undefined;
    cluster.advance(600_000);
    listLiveViews(cluster).forEach((view) => expect(view).toEqual(listIds(CURRENT_SIZE)));
  });

  it('propagates a new member from the only failure domain that reaches the platform', () => {
    const cluster = createCluster(CURRENT_SIZE);
    cluster.partition(formatDomain(0), PLATFORM);
    cluster.partition(formatDomain(2), PLATFORM);
    cluster.start('entry-1-9', formatDomain(1));
    cluster.advance(PROPAGATION_MS);
    listLiveViews(cluster).forEach((view) => expect(view).toContain('entry-1-9'));
  });

  it.each([CURRENT_SIZE, LARGE_SIZE])(
    'reunites after a network partition: $domains domains of $perDomain',
    (size) => {
      const cluster = createCluster(size);
      const isolatedDomain = formatDomain(1);
      for (let domain = 0; domain < size.domains; domain += 1) {
        if (domain !== 1) cluster.partition(isolatedDomain, formatDomain(domain));
      }
      cluster.partition(isolatedDomain, PLATFORM);
      cluster.advance(600_000);
      const localIds = listIds(size).filter((id) => id.startsWith('entry-1'));
      expect(listLiveViews(cluster).get(targetVm)).toEqual(expect.arrayContaining(localIds));
      cluster.reconnectAll();
      cluster.advance(180_000);
      listLiveViews(cluster).forEach((view) => expect(view).toEqual(listIds(size)));
    },
  );

  it.each([CURRENT_SIZE, LARGE_SIZE])(
    'reunites within the control traffic budget: $domains domains of $perDomain',
    (size) => {
      const cluster = createCluster(size);
      for (let domain = 1; domain < size.domains; domain += 1) {
        cluster.partition(formatDomain(0), formatDomain(domain));
      }
      cluster.partition(formatDomain(0), PLATFORM);
      cluster.kill(targetVm);
      cluster.start('entry-0-9', formatDomain(0));
      cluster.advance(300_000);
      cluster.reconnectAll();
      const seconds = 10;
      cluster.listRunning().forEach((member) => member.resetUsage());
      cluster.advance(seconds * 1_000);
      cluster.listRunning().forEach(({ usage }) => {
        expect(usage.sentBytes / seconds).toBeLessThan(CONTROL_BYTES_PER_S);
      });
    },
  );

  it('links each entry VM to all peers of its domain, and failure domains by few links', () => {
    const cluster = createCluster(LARGE_SIZE);
    const counts = cluster.listRunning().map(({ linkCodecs }) => linkCodecs.size);
    const crossDomainLinks = counts.reduce(
      (sum, count) => sum + count - (LARGE_SIZE.perDomain - 1),
      0,
    );
    const pairs = (LARGE_SIZE.domains * (LARGE_SIZE.domains - 1)) / 2;
    expect(Math.min(...counts)).toBeGreaterThanOrEqual(LARGE_SIZE.perDomain - 1);
    expect(crossDomainLinks).toBeLessThanOrEqual(pairs * 2 * 2);
  });

  it.each([CURRENT_SIZE, LARGE_SIZE])(
    'keeps all members when the platform reports an empty list: $domains domains of $perDomain',
    (size) => {
      const cluster = createCluster(size);
      cluster.membershipList = [];
      cluster.advance(400_000);
      listLiveViews(cluster).forEach((view) => expect(view).toEqual(listIds(size)));
    },
  );
});
