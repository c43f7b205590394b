import type { Engine } from '@savorywind/model';
import type { EngineStream } from '../seam/types.js';

/** Why a stream's memory was taken back. */
export type ReleaseReason = 'pastDeadline' | 'ownerReplaced' | 'ownerUnreachable' | 'withoutReader';

/** Takes the streams of an engine, as its home last read them. */
export type StreamListener = (engine: Engine, streams: readonly EngineStream[]) => void;
