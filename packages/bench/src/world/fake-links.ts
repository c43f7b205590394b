import type { EntryVm, LinkMessage } from '@savorywind/model';
import type { FakeEntryVm } from './fake-entry-vm.js';
import type { FakeNetwork } from './network.js';
import type { Transcript } from './transcript.js';

const RECONNECT_MS = 500;

const formatLink = (a: string, b: string): string => (a < b ? `${a}|${b}` : `${b}|${a}`);

interface WantedLink {
  readonly from: EntryVm;
  readonly to: EntryVm;
}

/** Links between entry VMs, which are tried again until the side that wanted them closes them. */
export class FakeLinks {
  private readonly opened = new Set<string>();

  private readonly wanted = new Map<string, WantedLink>();

  constructor(
    private readonly network: FakeNetwork,
    private readonly findVm: (id: string) => FakeEntryVm | undefined,
    private readonly transcript: Transcript,
  ) {}

  open(from: EntryVm, to: EntryVm): void {
    const want = `${from.id}.${from.incarnation}>${to.id}`;
    const known = this.wanted.has(want);
    this.wanted.set(want, { from, to });
    if (!known) this.connectLater(want, this.network.drawDelayMs());
  }

  close(from: EntryVm, peer: string): void {
    this.wanted.delete(`${from.id}.${from.incarnation}>${peer}`);
    this.breakOff(from.id, peer);
  }

  /** Breaks all links of an entry VM that has ended. */
  closeAll(vmId: string): void {
    [...this.opened].forEach((link) => {
      const [a = '', b = ''] = link.split('|');
      if (a === vmId || b === vmId) this.breakOff(a, b);
    });
  }

  /** Breaks open links between places that can't reach each other. */
  closeCut(): void {
    [...this.opened].forEach((link) => {
      const [a = '', b = ''] = link.split('|');
      const [near, far] = [this.findVm(a)?.vm, this.findVm(b)?.vm];
      if (near === undefined || far === undefined) return;
      if (!this.network.isReachable(near.failureDomain, far.failureDomain)) this.breakOff(a, b);
    });
  }

  send(from: EntryVm, peer: string, message: LinkMessage): void {
    const target = this.findVm(peer);
    if (target === undefined || !this.opened.has(formatLink(from.id, peer))) return;
    this.network.sendMessage(from.failureDomain, target.vm.failureDomain, () => {
      if (!this.opened.has(formatLink(from.id, peer))) return;
      this.findVm(peer)?.dispatch({ kind: 'link.received', peer: from.id, message });
    });
  }

  private connectLater(want: string, delayMs: number): void {
    setTimeout(() => this.connect(want), delayMs);
  }

  /** Opens a link that is wanted; where that fails, or once it breaks, it is tried again. */
  private connect(want: string): void {
    const wanted = this.wanted.get(want);
    if (wanted === undefined) return;
    const { from, to } = wanted;
    const near = this.findVm(from.id);
    if (near?.vm.incarnation !== from.incarnation || near.state === 'dead') {
      this.wanted.delete(want);
      return;
    }
    const link = formatLink(from.id, to.id);
    if (this.opened.has(link)) return;
    const far = this.findVm(to.id);
    const reachable = this.network.isReachable(from.failureDomain, to.failureDomain);
    if (!reachable || far === undefined || far.state === 'dead') {
      this.connectLater(want, RECONNECT_MS);
      return;
    }
    this.opened.add(link);
    this.transcript.record(`link ${link} opens`);
    near.dispatch({ kind: 'link.opened', peer: to.id });
    far.dispatch({ kind: 'link.opened', peer: from.id });
  }

  private breakOff(a: string, b: string): void {
    if (!this.opened.delete(formatLink(a, b))) return;
    this.transcript.record(`link ${formatLink(a, b)} closes`);
    this.findVm(a)?.dispatch({ kind: 'link.closed', peer: b });
    this.findVm(b)?.dispatch({ kind: 'link.closed', peer: a });
    [...this.wanted.entries()]
      .filter(([, { from, to }]) => formatLink(from.id, to.id) === formatLink(a, b))
      .forEach(([want]) => this.connectLater(want, RECONNECT_MS));
  }
}
