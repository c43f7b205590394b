import type { Engine } from '@savorywind/model';
import type { EngineStream } from '../context/types.js';

/** Why a stream was released. */
export type ReleaseReason = 'pastDeadline' | 'ownerReplaced' | 'ownerUnreachable' | 'withoutReader';

/** Called with an engine and its current stream list. */
export type StreamListener = (engine: Engine, streams: readonly EngineStream[]) => void;
