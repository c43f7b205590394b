/** A stream of the stand-in engine: one prompt, and the tokens generated for it so far. */
export interface ModelStream {
  readonly streamId: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly memoryTokens: number;
  /** Prompt tokens whose KV cache was at hand when the stream started. */
  readonly cachedTokens: number;
  readonly priority: number;
  readonly startedAtMs: number;
  readonly tokens: string[];
  finished: boolean;
  /** Called when a token is added or the stream ends. */
  listener: (() => void) | undefined;
}

/** Parameters of the model; docs/design/engine-model.md gives their published ranges. */
export interface EngineModelSettings {
  /** KV cache capacity, in tokens. */
  readonly memoryTokens: number;
  readonly prefillTokensPerS: number;
  /** Tokens per second of a sequence that decodes alone. */
  readonly decodeTokensPerS: number;
  /** Added to a decode step by each further sequence of the batch, in milliseconds. */
  readonly stepPerSequenceMs?: number;
  /** Added to a decode step by each million tokens of context in the batch, in milliseconds. */
  readonly stepPerMillionTokensMs?: number;
  /** Prompt tokens read between two decode steps. */
  readonly prefillChunkTokens?: number;
  /** Context length at which reading one more prompt token costs twice as much as at the start. */
  readonly attentionTokens?: number;
  readonly batchLimit?: number;
  /** Whether prompts are read in order of priority, or first come first served. */
  readonly priorities?: 'honoured' | 'ignored';
  /** Tokens of one block of the prefix cache; 0 turns the cache off. */
  readonly prefixBlockTokens?: number;
  /** Age of the load that is reported, in milliseconds. */
  readonly loadLagMs?: number;
  readonly cacheEventDelayMs?: number;
  /** Share of the cache events that are lost, from 0 to 1. */
  readonly cacheEventLoss?: number;
  /** Tokens of KV cache that are exported or imported per second. */
  readonly transferTokensPerS?: number;
  /** `milestones` wakes only for first tokens and ends: for experiments where nobody reads each. */
  readonly pace?: 'everyToken' | 'milestones';
}

export interface StreamAsk {
  readonly streamId: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Length at which the answer ends by itself; the longest that is allowed where it is left out. */
  readonly stopAfterTokens?: number;
  /** Text that the generated tokens are derived from, so that a second run gives the same answer. */
  readonly seedText: string;
  /** Higher goes first. */
  readonly priority?: number;
  /** Digests of the prompt's leading blocks, shortest first. */
  readonly prefixDigests?: readonly string[];
  /** Leading tokens whose KV cache is imported from another engine. */
  readonly importedTokens?: number;
}

export interface ReportedLoad {
  readonly usedMemoryTokens: number;
  readonly runningStreams: number;
  readonly queuedPromptTokens: number;
}

export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'added' | 'removed';
  readonly digest: string;
}
