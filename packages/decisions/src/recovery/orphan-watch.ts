import type { EndpointId, MonotonicMs } from '@savorywind/model';
import type { OwnerLife } from '../membership/types.js';
import type { EngineStream } from '../seam/types.js';
import { DEADLINE_TOLERANCE_MS, UNREACHABLE_OWNER_MS, WITHOUT_READER_MS } from './consts.js';
import { parseStreamId, type StreamOwner } from './stream-id.js';
import type { ReleaseReason } from './types.js';

interface Release {
  readonly streamId: string;
  readonly reason: ReleaseReason;
}

interface Silence {
  readonly sinceMs: MonotonicMs;
  readonly owner: StreamOwner;
}

const WAIT_MS: Readonly<Record<OwnerLife, number>> = {
  live: WITHOUT_READER_MS,
  unreachable: UNREACHABLE_OWNER_MS,
  replaced: 0,
};

const REASON: Readonly<Record<OwnerLife, ReleaseReason>> = {
  live: 'withoutReader',
  unreachable: 'ownerUnreachable',
  replaced: 'ownerReplaced',
};

/**
 * Tells which streams of an engine nobody holds any more. A stream that a reader is attached to is
 * released only past its deadline, so a wrong suspicion of its owner never cuts it off.
 */
export class OrphanWatch {
  /** Streams that were seen without a reader, by engine. */
  private readonly silences = new Map<EndpointId, Map<string, Silence>>();

  constructor(private readonly judgeOwner: (owner: StreamOwner) => OwnerLife) {}

  /** Forgets engines that this entry VM is no longer the home of. */
  keepEngines(isKept: (engine: EndpointId) => boolean): void {
    [...this.silences.keys()]
      .filter((engine) => !isKept(engine))
      .forEach((engine) => this.silences.delete(engine));
  }

  /** Takes the whole stream list of an engine. @returns what is to be released now */
  acceptStreams(
    engine: EndpointId,
    streams: readonly EngineStream[],
    nowMs: MonotonicMs,
  ): Release[] {
    const before = this.silences.get(engine);
    const silences = new Map<string, Silence>();
    this.silences.set(engine, silences);
    const releases: Release[] = [];
    streams.forEach((stream) => {
      const owner = parseStreamId(stream.streamId);
      if (owner === undefined) return;
      const { streamId, attached, ageMs } = stream;
      if (ageMs > owner.timeoutMs + DEADLINE_TOLERANCE_MS) {
        releases.push({ streamId, reason: 'pastDeadline' });
        return;
      }
      if (attached) return;
      const silence = before?.get(streamId) ?? { sinceMs: nowMs, owner };
      silences.set(streamId, silence);
      const life = this.judgeOwner(owner);
      if (nowMs - silence.sinceMs < WAIT_MS[life]) return;
      releases.push({ streamId, reason: REASON[life] });
    });
    return releases;
  }
}
