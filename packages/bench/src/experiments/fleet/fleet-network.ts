import type { EntryVmId, LinkMessage } from '@savorywind/model';
import { Packr } from 'msgpackr';
import type { RandomSource } from '../workload/random-source.js';

/** Frame header with mask of a short WebSocket message, in bytes. */
const FRAME_HEADER_BYTES = 8;

const PLATFORM_DOMAIN = 'platform';

/** Delays, loss and cuts between failure domains, and the bytes that cross links. */
export class FleetNetwork {
  lossShare = 0;

  private readonly cut = new Set<string>();

  private readonly encoders = new Map<string, Packr>();

  private readonly bytes = new Map<EntryVmId, number>();

  private readonly bytesByKind = new Map<string, number>();

  constructor(
    readonly delayMs: number,
    private readonly random: RandomSource,
  ) {}

  cutOff(domain: string): void {
    this.cut.add(domain);
  }

  isReachable(near: string, far: string): boolean {
    return near === far || !(this.cut.has(near) || this.cut.has(far));
  }

  isPlatformReachable(domain: string): boolean {
    return this.isReachable(domain, PLATFORM_DOMAIN);
  }

  readBytes(vm: EntryVmId): number {
    return this.bytes.get(vm) ?? 0;
  }

  listBytesByKind(): ReadonlyMap<string, number> {
    return this.bytesByKind;
  }

  /** Counts what a message takes on its link, whether it arrives or not. */
  isDelivered(from: EntryVmId, to: EntryVmId, message: LinkMessage): boolean {
    const link = `${from}>${to}`;
    let encoder = this.encoders.get(link);
    if (encoder === undefined) {
      encoder = new Packr({ sequential: true });
      this.encoders.set(link, encoder);
    }
    const size = encoder.pack(message).length + FRAME_HEADER_BYTES;
    this.bytes.set(from, this.readBytes(from) + size);
    this.bytesByKind.set(message.kind, (this.bytesByKind.get(message.kind) ?? 0) + size);
    return this.random.drawUniform() >= this.lossShare;
  }
}
