import type { EndpointId, RequestId, TeamId } from '../entities/types.js';

/** Summary of an engine's state that its coordinator sends to a peer. */
export interface EngineSummary {
  readonly engine: EndpointId;
  /** Prefill work of other peers' light requests that is waiting or in progress. */
  readonly othersBacklogMs: number;
  /** Prefill work of heavy requests that is waiting or in progress. */
  readonly heavyBacklogMs: number;
  /** KV cache tokens that the peer's light requests may use in total, current use included. */
  readonly freeTokens: number;
  /** Light work that the peer may place until the next round without a slot request. */
  readonly creditMs: number;
}

/** A granted slot that its holder still uses. */
export interface HeldSlot {
  readonly requestId: RequestId;
  readonly tokens: number;
  /** Whether prefill is complete. */
  readonly prefilled: boolean;
}

/** A peer's report to an engine's coordinator about its own work; replaces its previous report. */
export interface EngineUsage {
  readonly engine: EndpointId;
  readonly lightBacklogMs: number;
  readonly lightTokens: number;
  /** Light work that the peer placed since the last round. */
  readonly placedMs: number;
  readonly held: readonly HeldSlot[];
}

/**
 * Demand of one team with limits at one entry VM, admitted or not, as moving averages over the
 * rounds.
 */
export interface TeamDemand {
  readonly team: TeamId;
  /** Requests per second. */
  readonly requests: number;
  /** Prompt tokens plus the most output tokens, per second. */
  readonly tokens: number;
}

/** Messages about slots on an engine, between an entry VM and the engine's coordinator. */
export type RoutingMessage =
  | {
      readonly kind: 'slot.ask';
      readonly requestId: RequestId;
      readonly engine: EndpointId;
      readonly team: TeamId;
      readonly promptTokens: number;
      readonly outputTokens: number;
      /** Time since the slot was first requested, by the sender's clock. */
      readonly waitedMs: number;
      /** Time to the deadline, by the sender's clock. */
      readonly leftMs: number;
      /** The sender's light work on the engine, as in its usage report. */
      readonly lightBacklogMs: number;
      readonly lightTokens: number;
      /** Prefill time saved by a prefix that the engine is expected to retain, in milliseconds. */
      readonly savedMs?: number;
    }
  | { readonly kind: 'slot.grant'; readonly requestId: RequestId; readonly engine: EndpointId }
  | {
      readonly kind: 'slot.refuse';
      readonly requestId: RequestId;
      readonly engine: EndpointId;
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'slot.prefilled'; readonly requestId: RequestId; readonly engine: EndpointId }
  | {
      readonly kind: 'slot.release';
      readonly requestId: RequestId;
      readonly engine: EndpointId;
      /** The engine refused the stream: it has less free memory than the coordinator assumes. */
      readonly rejected: boolean;
    }
  | {
      readonly kind: 'slot.round';
      readonly summaries: readonly EngineSummary[];
      readonly usages: readonly EngineUsage[];
      readonly demands: readonly TeamDemand[];
    };
