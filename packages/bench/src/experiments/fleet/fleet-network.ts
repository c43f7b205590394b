import type { EntryVmId, LinkMessage } from '@savorywind/model';
import { Packr } from 'msgpackr';
import type { RandomSource } from '../workload/random-source.js';

/** Header of a masked WebSocket frame with a 16-bit payload length. */
const FRAME_HEADER_BYTES = 8;

const PLATFORM_DOMAIN = 'platform';

/** Network of a fleet: delay, loss of link messages, isolated failure domains, and bytes sent. */
export class FleetNetwork {
  /** Fraction of the link messages that are lost, from 0 to 1. */
  lossFraction = 0;

  private readonly isolatedDomains = new Set<string>();

  private readonly encoders = new Map<string, Packr>();

  private readonly sentBytes = new Map<EntryVmId, number>();

  private readonly bytesByKind = new Map<string, number>();

  constructor(
    /** One-way delay. */
    readonly delayMs: number,
    private readonly random: RandomSource,
  ) {}

  isolateDomain(domain: string): void {
    this.isolatedDomains.add(domain);
  }

  /** Whether messages pass from one failure domain to another; always true within one. */
  isReachable(from: string, to: string): boolean {
    return from === to || !(this.isolatedDomains.has(from) || this.isolatedDomains.has(to));
  }

  isPlatformReachable(domain: string): boolean {
    return this.isReachable(domain, PLATFORM_DOMAIN);
  }

  readSentBytes(vm: EntryVmId): number {
    return this.sentBytes.get(vm) ?? 0;
  }

  /** Bytes sent by all entry VMs, by message kind. */
  listBytesByKind(): ReadonlyMap<string, number> {
    return this.bytesByKind;
  }

  /** Counts the encoded size of a message and draws whether the message is delivered or lost. */
  decideDelivery(from: EntryVmId, to: EntryVmId, message: LinkMessage): boolean {
    const link = `${from}>${to}`;
    let encoder = this.encoders.get(link);
    if (encoder === undefined) {
      encoder = new Packr({ sequential: true });
      this.encoders.set(link, encoder);
    }
    const size = encoder.pack(message).length + FRAME_HEADER_BYTES;
    this.sentBytes.set(from, this.readSentBytes(from) + size);
    this.bytesByKind.set(message.kind, (this.bytesByKind.get(message.kind) ?? 0) + size);
    return this.random.drawUniform() >= this.lossFraction;
  }
}
