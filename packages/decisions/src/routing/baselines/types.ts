import type { EndpointId, Engine } from '@savorywind/model';
import type { NodeContext } from '../../seam/node-context.js';

/** What a baseline knows of the engines: their lagged load, and its own work there. */
export interface FleetView {
  readonly context: NodeContext;
  /** Memory in use by the last report, plus what this entry VM placed since. */
  estimateUsedTokens(engine: EndpointId): number;
  countOwnTokens(engine: EndpointId): number;
}

/** Picks one of the engines that have room; there is at least one. */
export type EnginePicker = (engines: readonly Engine[], view: FleetView) => Engine | undefined;
