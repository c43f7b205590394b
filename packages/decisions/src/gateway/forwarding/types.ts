import type { EndpointId, EntryVmId } from '@savorywind/model';
import type { GatewayRefusalReason } from '../types.js';

/** What the entry VM that has received a request from its caller says when it forwards it to a peer. */
export interface ForwardedFrom {
  readonly by: EntryVmId;
  /** Version of the configuration by which it has resolved the request. */
  readonly version: number;
  /** Time since the request arrived from its caller, in milliseconds. */
  readonly elapsedMs: number;
  /** Whether the caller already has a part of the response. */
  readonly hasBegun: boolean;
  /** Endpoints that have failed the request. */
  readonly failedEndpoints: readonly EndpointId[];
}

/** What became of a forwarded request that the peer refuses. */
export interface ForwardingOutcome {
  /** Whether an endpoint may have executed it. */
  readonly hasRun: boolean;
  /** Whether it was sent to an endpoint, which may have rejected it. */
  readonly hasArrived: boolean;
  /** The endpoint that got it last. */
  readonly endpoint: EndpointId | undefined;
}

/** A peer's refusal of a request that was forwarded to it. */
export interface PeerRefusal extends ForwardingOutcome {
  readonly reason: GatewayRefusalReason;
  /** Undefined if a retry does not help, or may execute the request twice. */
  readonly retryAfterMs: number | undefined;
}

/** What metrics show of forwarded requests. */
export interface ForwardingUsage {
  /** Requests that this VM has forwarded to peers; one counts again for each peer. */
  readonly forwarded: number;
  /** Requests that peers have forwarded to this VM. */
  readonly received: number;
}
