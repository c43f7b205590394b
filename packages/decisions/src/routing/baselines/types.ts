import type { EndpointId, Engine } from '@savorywind/model';
import type { NodeContext } from '../../context/node-context.js';

/** Load of the engines as a baseline picker sees it: the last reports, plus local placements. */
export interface FleetView {
  readonly context: NodeContext;
  /** Memory in use: the last load report plus what this entry VM placed since, in tokens. */
  estimateUsedTokens(engine: EndpointId): number;
  /** Tokens of all slots that this entry VM holds on the engine. */
  countLocalTokens(engine: EndpointId): number;
}

/** Picks one of the engines that have enough free memory; the list is never empty. */
export type EnginePicker = (engines: readonly Engine[], view: FleetView) => Engine | undefined;
