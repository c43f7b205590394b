import { EntryNode, type NodeEffect, type NodeEvent } from '@savorywind/decisions';
import { FrameCodec } from '@savorywind/entry';
import type { EntryVm, EntryVmId, LinkMessage } from '@savorywind/model';

/** Bytes of a WebSocket frame around a short payload, with the mask that half of the frames carry. */
const FRAME_OVERHEAD_BYTES = 4;

export type MemberLife = 'running' | 'frozen' | 'dead';

/** What one entry VM sent and how much processor time its decisions and frames took. */
export interface MemberCost {
  sentFrames: number;
  sentBytes: number;
  receivedBytes: number;
  /** Bytes of the platform's list. */
  listBytes: number;
  processorMs: number;
}

const createCost = (): MemberCost => ({
  sentFrames: 0,
  sentBytes: 0,
  receivedBytes: 0,
  listBytes: 0,
  processorMs: 0,
});

/** One entry VM of a `MemberCluster`: the product's decisions, its links, and what they cost. */
export class ClusterMember {
  life: MemberLife = 'running';

  /** Peers to which the decisions want a link. */
  readonly wanted = new Map<EntryVmId, EntryVm>();

  /** Codecs of open links, by peer. */
  readonly linked = new Map<EntryVmId, FrameCodec>();

  cost = createCost();

  /** Names of the log events so far. */
  readonly logged: string[] = [];

  /** When the next wake-up is due. */
  wakeAtMs: number | undefined;

  /** Events that wait until a frozen process wakes up. */
  private readonly held: NodeEvent[] = [];

  private readonly node: EntryNode;

  constructor(
    readonly vm: EntryVm,
    seed: number,
    private readonly carryOut: (member: ClusterMember, effect: NodeEffect) => void,
  ) {
    this.node = new EntryNode({ vm, seed });
  }

  resetCost(): void {
    this.cost = createCost();
  }

  readStatus() {
    return this.node.readStatus();
  }

  readMembership() {
    return this.node.readMembership();
  }

  nextWakeMs(): number | undefined {
    return this.node.nextWakeMs();
  }

  handle(event: NodeEvent, nowMs: number): void {
    if (this.life === 'dead') return;
    if (this.life === 'frozen') {
      this.held.push(event);
      return;
    }
    const startedMs = performance.now();
    const effects = this.node.handle(event, nowMs);
    this.cost.processorMs += performance.now() - startedMs;
    effects.forEach((effect) => this.carryOut(this, effect));
  }

  wake(nowMs: number): void {
    this.life = 'running';
    this.handle({ kind: 'woken' }, nowMs);
    this.held.splice(0).forEach((event) => this.handle(event, nowMs));
  }

  /** Encodes a message as its link would. */
  encode(peer: EntryVmId, message: LinkMessage): Uint8Array | undefined {
    const startedMs = performance.now();
    const frame = this.linked.get(peer)?.encode(message);
    this.cost.processorMs += performance.now() - startedMs;
    if (frame === undefined) return undefined;
    this.cost.sentFrames += 1;
    this.cost.sentBytes += frame.byteLength + FRAME_OVERHEAD_BYTES;
    return frame;
  }

  /** Decodes a frame as its link would. */
  decode(peer: EntryVmId, frame: Uint8Array): LinkMessage | undefined {
    this.cost.receivedBytes += frame.byteLength + FRAME_OVERHEAD_BYTES;
    const startedMs = performance.now();
    const decoded = this.linked.get(peer)?.decodeMessage(frame);
    this.cost.processorMs += performance.now() - startedMs;
    return decoded?.ok === true ? decoded.val : undefined;
  }
}
