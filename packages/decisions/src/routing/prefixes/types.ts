import type { Engine, MonotonicMs } from '@savorywind/model';

/** What a request needs of an engine, as far as the choice by retained prefixes depends on it. */
export interface PrefixDemand {
  readonly promptTokens: number;
  /** Prompt and longest answer, in tokens of KV cache. */
  readonly memoryTokens: number;
}

/** An engine that may get a request, with what is known of its load and of what it retains. */
export interface PrefixCandidate {
  readonly engine: Engine;
  /** Wait before the prompt is read, in milliseconds. */
  readonly waitMs: number;
  /** Leading tokens of the prompt that the engine is expected to retain. */
  readonly keptTokens: number;
  /** Chance that it does, from 0 to 1. */
  readonly probability: number;
  /** KV cache that streams do not use, in tokens; retained prefixes are part of it. */
  readonly freeTokens: number;
  /** KV cache of all prefixes that the engine is expected to retain, in tokens. */
  readonly retainedTokens: number;
  /** Fraction of the retained tokens that later prompts are expected to use, from 0 to 1. */
  readonly reuseFraction: number;
}

/** Effects of placing a request on a candidate, in milliseconds. */
export interface PrefixEstimate {
  /** Expected prefill time that the retained prefix saves. */
  readonly savedMs: number;
  /** Expected prefill time of later prompts whose prefixes the request displaces. */
  readonly lossMs: number;
  /** Wait, less what is saved, plus what is lost. The candidate with the lowest cost is chosen. */
  readonly costMs: number;
}

/** What an engine is expected to retain of one prompt. */
export interface KeptPrefix {
  readonly keptTokens: number;
  readonly probability: number;
  /** `known`: the engine has read the prefix; `assumed`: peers may have sent it there. */
  readonly source: 'known' | 'assumed' | 'none';
  /** When the prefix was last used there; undefined if that is not known. */
  readonly usedAtMs: MonotonicMs | undefined;
}
