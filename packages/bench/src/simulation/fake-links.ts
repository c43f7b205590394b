import type { EntryVm, LinkMessage } from '@savorywind/model';
import type { FakeEntryVm } from './fake-entry-vm.js';
import type { FakeNetwork } from './fake-network.js';
import type { EventLog } from './event-log.js';

/** Delay before a link that failed to open, or was closed, is opened again. */
const RECONNECT_INTERVAL_MS = 500;

const formatLink = (a: string, b: string): string => (a < b ? `${a}|${b}` : `${b}|${a}`);

interface RequestedLink {
  readonly from: EntryVm;
  readonly to: EntryVm;
}

/** Links between entry VMs. A link is reconnected until the side that requested it closes it. */
export class FakeLinks {
  private readonly openLinks = new Set<string>();

  private readonly requestedLinks = new Map<string, RequestedLink>();

  constructor(
    private readonly network: FakeNetwork,
    private readonly findVm: (id: string) => FakeEntryVm | undefined,
    private readonly eventLog: EventLog,
  ) {}

  open(from: EntryVm, to: EntryVm): void {
    const linkKey = `${from.id}.${from.incarnation}>${to.id}`;
    const isRequested = this.requestedLinks.has(linkKey);
    this.requestedLinks.set(linkKey, { from, to });
    if (!isRequested) this.scheduleOpenLink(linkKey, this.network.drawDelayMs());
  }

  close(from: EntryVm, peer: string): void {
    this.requestedLinks.delete(`${from.id}.${from.incarnation}>${peer}`);
    this.disconnect(from.id, peer);
  }

  /** Disconnects all links of an entry VM that has ended. */
  closeAll(vmId: string): void {
    [...this.openLinks].forEach((link) => {
      const [a = '', b = ''] = link.split('|');
      if (a === vmId || b === vmId) this.disconnect(a, b);
    });
  }

  /** Disconnects the open links whose locations can no longer reach each other. */
  closeUnreachable(): void {
    [...this.openLinks].forEach((link) => {
      const [a = '', b = ''] = link.split('|');
      const [localVm, remoteVm] = [this.findVm(a)?.identity, this.findVm(b)?.identity];
      if (localVm === undefined || remoteVm === undefined) return;
      if (!this.network.isReachable(localVm.failureDomain, remoteVm.failureDomain))
        this.disconnect(a, b);
    });
  }

  send(from: EntryVm, peer: string, message: LinkMessage): void {
    const target = this.findVm(peer);
    if (target === undefined || !this.openLinks.has(formatLink(from.id, peer))) return;
    this.network.sendMessage(from.failureDomain, target.identity.failureDomain, () => {
      if (!this.openLinks.has(formatLink(from.id, peer))) return;
      this.findVm(peer)?.dispatch({ kind: 'link.received', peer: from.id, message });
    });
  }

  private scheduleOpenLink(linkKey: string, delayMs: number): void {
    setTimeout(() => this.openLink(linkKey), delayMs);
  }

  /** Opens a requested link; retries after an interval if the peer is dead or unreachable. */
  private openLink(linkKey: string): void {
    const requested = this.requestedLinks.get(linkKey);
    if (requested === undefined) return;
    const { from, to } = requested;
    const localVm = this.findVm(from.id);
    if (localVm?.identity.incarnation !== from.incarnation || localVm.state === 'dead') {
      this.requestedLinks.delete(linkKey);
      return;
    }
    const link = formatLink(from.id, to.id);
    if (this.openLinks.has(link)) return;
    const remoteVm = this.findVm(to.id);
    const isReachable = this.network.isReachable(from.failureDomain, to.failureDomain);
    if (!isReachable || remoteVm === undefined || remoteVm.state === 'dead') {
      this.scheduleOpenLink(linkKey, RECONNECT_INTERVAL_MS);
      return;
    }
    this.openLinks.add(link);
    this.eventLog.record(`link ${link} opens`);
    localVm.dispatch({ kind: 'link.opened', peer: to.id });
    remoteVm.dispatch({ kind: 'link.opened', peer: from.id });
  }

  private disconnect(a: string, b: string): void {
    if (!this.openLinks.delete(formatLink(a, b))) return;
    this.eventLog.record(`link ${formatLink(a, b)} closes`);
    this.findVm(a)?.dispatch({ kind: 'link.closed', peer: b });
    this.findVm(b)?.dispatch({ kind: 'link.closed', peer: a });
    [...this.requestedLinks.entries()]
      .filter(([, { from, to }]) => formatLink(from.id, to.id) === formatLink(a, b))
      .forEach(([linkKey]) => this.scheduleOpenLink(linkKey, RECONNECT_INTERVAL_MS));
  }
}
