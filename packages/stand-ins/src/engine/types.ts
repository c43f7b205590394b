/** A stream of the simulated engine: one prompt and the tokens generated for it so far. */
export interface SimulatedStream {
  readonly streamId: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly memoryTokens: number;
  /** Prompt tokens whose KV cache was present when the stream started. */
  readonly cachedTokens: number;
  readonly priority: number;
  readonly startedAtMs: number;
  readonly tokens: string[];
  finished: boolean;
  /** Called when tokens are added or the stream ends. */
  listener: (() => void) | undefined;
}

/** Parameters of the engine simulation; docs/design/engine-model.md gives their published ranges. */
export interface EngineSimulatorSettings {
  /** KV cache capacity, in tokens. */
  readonly memoryTokens: number;
  readonly prefillTokensPerS: number;
  /** Tokens per second of a sequence that is the only one in the batch. */
  readonly decodeTokensPerS: number;
  /** Added to a decode step by each further sequence of the batch, in milliseconds. */
  readonly stepPerSequenceMs?: number;
  /** Added to a decode step by each million tokens of context in the batch, in milliseconds. */
  readonly stepPerMillionTokensMs?: number;
  /** Prompt tokens processed in one prefill chunk, between two decode steps. */
  readonly prefillChunkTokens?: number;
  /** Context length at which prefill of one more token takes twice as long as of the first one. */
  readonly attentionTokens?: number;
  /** Maximum number of sequences that decode at the same time. */
  readonly batchLimit?: number;
  /** Whether prefill runs in order of priority or of arrival. */
  readonly priorities?: 'honoured' | 'ignored';
  /** Tokens per block of the prefix cache; 0 disables the cache. */
  readonly prefixBlockTokens?: number;
  /** Age of the reported load, in milliseconds. */
  readonly loadLagMs?: number;
  /** Time until a cache event becomes visible, in milliseconds. */
  readonly cacheEventDelayMs?: number;
  /** Fraction of the cache events that are lost, from 0 to 1. */
  readonly cacheEventLoss?: number;
  /** Tokens of KV cache that are exported or imported per second. */
  readonly transferTokensPerS?: number;
  /**
   * `everyToken` calls listeners for each decode step, `milestones` only for the first token and
   * the end of a stream, which saves time in experiments that do not read each token.
   */
  readonly pace?: 'everyToken' | 'milestones';
}

/** Parameters of a new stream; the body of `POST /v1/streams`. */
export interface StreamRequest {
  readonly streamId: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Number of tokens after which generation ends; `maxOutputTokens` by default. */
  readonly stopAfterTokens?: number;
  /** Text that determines the generated tokens; equal seeds give equal output. */
  readonly seedText: string;
  /** Prompts of higher priority are prefilled first. */
  readonly priority?: number;
  /** Digests of the prompt's leading blocks, shortest prefix first. */
  readonly prefixDigests?: readonly string[];
  /** Leading tokens whose KV cache is imported from another engine. */
  readonly importedTokens?: number;
}

/** Load of an engine; the response of `GET /v1/load`. */
export interface ReportedLoad {
  readonly usedMemoryTokens: number;
  readonly runningStreams: number;
  readonly queuedPromptTokens: number;
}

/** A block that was added to or removed from the prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'added' | 'removed';
  readonly digest: string;
}
