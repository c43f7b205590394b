import type { EndpointId, MonotonicMs } from '@savorywind/model';
import type { OwnerState } from '../membership/types.js';
import type { EngineStream } from '../context/types.js';
import {
  DEADLINE_TOLERANCE_MS,
  UNREACHABLE_OWNER_TIMEOUT_MS,
  NO_READER_TIMEOUT_MS,
} from './consts.js';
import { parseStreamId, type StreamOwner } from './stream-id.js';
import type { ReleaseReason } from './types.js';

interface StreamRelease {
  readonly streamId: string;
  readonly reason: ReleaseReason;
}

interface UnreadStream {
  /** When the stream was first listed without a reader. */
  readonly sinceMs: MonotonicMs;
  readonly owner: StreamOwner;
}

/** Time without a reader after which a stream is released, by the state of its owner. */
const RELEASE_DELAY_MS: Readonly<Record<OwnerState, number>> = {
  live: NO_READER_TIMEOUT_MS,
  unreachable: UNREACHABLE_OWNER_TIMEOUT_MS,
  replaced: 0,
};

const RELEASE_REASON: Readonly<Record<OwnerState, ReleaseReason>> = {
  live: 'withoutReader',
  unreachable: 'ownerUnreachable',
  replaced: 'ownerReplaced',
};

/**
 * Detects orphaned streams of engines. A stream with an attached reader is released only after its
 * deadline, so a wrong suspicion about its owner never ends it early.
 */
export class OrphanDetector {
  /** Streams that were last listed without a reader, by engine. */
  private readonly unreadByEngine = new Map<EndpointId, Map<string, UnreadStream>>();

  constructor(private readonly checkOwner: (owner: StreamOwner) => OwnerState) {}

  /** Forgets the streams of all engines that are not kept. */
  keepEngines(isKept: (engine: EndpointId) => boolean): void {
    [...this.unreadByEngine.keys()]
      .filter((engine) => !isKept(engine))
      .forEach((engine) => this.unreadByEngine.delete(engine));
  }

  /**
   * @param streams complete stream list of the engine
   * @returns streams to release now
   */
  findOrphans(
    engine: EndpointId,
    streams: readonly EngineStream[],
    nowMs: MonotonicMs,
  ): StreamRelease[] {
    const previous = this.unreadByEngine.get(engine);
    const unreadStreams = new Map<string, UnreadStream>();
    this.unreadByEngine.set(engine, unreadStreams);
    const releases: StreamRelease[] = [];
    streams.forEach((stream) => {
      const owner = parseStreamId(stream.streamId);
      if (owner === undefined) return;
      const { streamId, attached, ageMs } = stream;
      if (ageMs > owner.timeoutMs + DEADLINE_TOLERANCE_MS) {
        releases.push({ streamId, reason: 'pastDeadline' });
        return;
      }
      if (attached) return;
      const unreadStream = previous?.get(streamId) ?? { sinceMs: nowMs, owner };
      unreadStreams.set(streamId, unreadStream);
      const ownerState = this.checkOwner(owner);
      if (nowMs - unreadStream.sinceMs < RELEASE_DELAY_MS[ownerState]) return;
      releases.push({ streamId, reason: RELEASE_REASON[ownerState] });
    });
    return releases;
  }
}
