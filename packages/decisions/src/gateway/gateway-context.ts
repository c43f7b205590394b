import { DecisionContext } from '../context/decision-context.js';
import type { GatewayEffect } from './types.js';

/** Time, timers, random numbers and effects that the gateway's state machines share. */
export class GatewayContext extends DecisionContext<GatewayEffect> {}
