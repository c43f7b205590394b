import type { EndpointId, RequestId, TeamId } from '../world/types.js';

/** What the home of an engine tells a peer about the engine. */
export interface EngineSummary {
  readonly engine: EndpointId;
  /** Prompts within the light band that wait or are read, other than the peer's own. */
  readonly othersBacklogMs: number;
  /** Longer prompts that wait or are read. */
  readonly heavyBacklogMs: number;
  /** Memory that the peer's light requests may take, what they hold already included. */
  readonly freeTokens: number;
  /** Work that the peer may place until the next round without asking. */
  readonly creditMs: number;
}

/** A single grant that its holder still uses. */
export interface HeldSlot {
  readonly requestId: RequestId;
  readonly tokens: number;
  /** Whether the prompt is read. */
  readonly prefilled: boolean;
}

/** What a peer tells the home of an engine about its own work there; replaces what it told before. */
export interface EngineUsage {
  readonly engine: EndpointId;
  readonly lightBacklogMs: number;
  readonly lightTokens: number;
  /** Light work placed since the last round. */
  readonly placedMs: number;
  readonly held: readonly HeldSlot[];
}

/** What an entry VM has admitted of a team with limits, in the last round. */
export interface TeamDemand {
  readonly team: TeamId;
  readonly requests: number;
  readonly tokens: number;
}

/** Messages about slots on engines, between an entry VM and the home of an engine. */
export type RoutingMessage =
  | {
      readonly kind: 'slot.ask';
      readonly requestId: RequestId;
      readonly engine: EndpointId;
      readonly team: TeamId;
      readonly promptTokens: number;
      readonly outputTokens: number;
      /** Time since arrival and time left, at the sender. */
      readonly waitedMs: number;
      readonly leftMs: number;
      /** The sender's light work at the engine, as in its usage. */
      readonly lightBacklogMs: number;
      readonly lightTokens: number;
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
      /** The engine refused the stream: its memory is fuller than the account says. */
      readonly rejected: boolean;
    }
  | {
      readonly kind: 'slot.round';
      readonly summaries: readonly EngineSummary[];
      readonly usages: readonly EngineUsage[];
      readonly demands: readonly TeamDemand[];
    };
