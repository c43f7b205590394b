import { EntryNode, type NodeEffect, type NodeEvent } from '@savorywind/decisions';
import { FrameCodec } from '@savorywind/entry';
import type { EntryVm, EntryVmId, LinkMessage } from '@savorywind/model';

/** Mean header of a short WebSocket frame: 2 bytes, plus a mask of 4 bytes on half of the frames. */
const FRAME_OVERHEAD_BYTES = 4;

/** State of a simulated process; events for a suspended process are deferred until it resumes. */
export type MemberState = 'running' | 'suspended' | 'stopped';

/** Traffic of one entry VM and the processor time of its state machine and frame codecs. */
export interface MemberUsage {
  sentFrames: number;
  sentBytes: number;
  receivedBytes: number;
  /** Bytes of the membership lists received from the platform. */
  listBytes: number;
  processorMs: number;
}

const createUsage = (): MemberUsage => ({
  sentFrames: 0,
  sentBytes: 0,
  receivedBytes: 0,
  listBytes: 0,
  processorMs: 0,
});

/** One entry VM of a `SimulatedCluster`: its state machine, links, and resource usage. */
export class ClusterMember {
  state: MemberState = 'running';

  /** Peers to which the state machine requests a link. */
  readonly requestedPeers = new Map<EntryVmId, EntryVm>();

  /** Codecs of open links, by peer. */
  readonly linkCodecs = new Map<EntryVmId, FrameCodec>();

  usage = createUsage();

  /** Names of all log events so far. */
  readonly loggedEvents: string[] = [];

  /** Time of the earliest scheduled `woken` event. */
  scheduledWakeMs: number | undefined;

  /** Events received while suspended, in order. */
  private readonly deferredEvents: NodeEvent[] = [];

  private readonly node: EntryNode;

  constructor(
    readonly vm: EntryVm,
    seed: number,
    private readonly onEffectEmitted: (member: ClusterMember, effect: NodeEffect) => void,
  ) {
    this.node = new EntryNode({ vm, seed });
  }

  resetUsage(): void {
    this.usage = createUsage();
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
    if (this.state === 'stopped') return;
    if (this.state === 'suspended') {
      this.deferredEvents.push(event);
      return;
    }
    const startedMs = performance.now();
    const effects = this.node.handle(event, nowMs);
    this.usage.processorMs += performance.now() - startedMs;
    effects.forEach((effect) => this.onEffectEmitted(this, effect));
  }

  /** Resumes a suspended process: it handles `woken` first and then the deferred events. */
  resume(nowMs: number): void {
    this.state = 'running';
    this.handle({ kind: 'woken' }, nowMs);
    this.deferredEvents.splice(0).forEach((event) => this.handle(event, nowMs));
  }

  /** Encodes a message for a peer and counts it; undefined without a link. */
  encode(peer: EntryVmId, message: LinkMessage): Uint8Array | undefined {
    const startedMs = performance.now();
    const frame = this.linkCodecs.get(peer)?.encode(message);
    this.usage.processorMs += performance.now() - startedMs;
    if (frame === undefined) return undefined;
    this.usage.sentFrames += 1;
    this.usage.sentBytes += frame.byteLength + FRAME_OVERHEAD_BYTES;
    return frame;
  }

  /** Decodes a frame of a peer and counts it; undefined without a link or if it is invalid. */
  decode(peer: EntryVmId, frame: Uint8Array): LinkMessage | undefined {
    this.usage.receivedBytes += frame.byteLength + FRAME_OVERHEAD_BYTES;
    const startedMs = performance.now();
    const decoded = this.linkCodecs.get(peer)?.decodeMessage(frame);
    this.usage.processorMs += performance.now() - startedMs;
    return decoded?.ok === true ? decoded.val : undefined;
  }
}
