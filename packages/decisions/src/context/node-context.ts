import type {
  Engine,
  EntryVm,
  PlatformCall,
  PlatformFailure,
  PlatformReply,
  Result,
} from '@savorywind/model';
import { DecisionContext } from './decision-context.js';
import type { EngineCall, EngineCallFailure, EngineReply, NodeEffect } from './types.js';

type PlatformListener = (reply: Result<PlatformReply, PlatformFailure>) => void;
type EngineListener = (reply: Result<EngineReply, EngineCallFailure>) => void;

/** Context shared by the state machines of one entry VM, with the listeners of pending calls. */
export class NodeContext extends DecisionContext<NodeEffect> {
  private readonly platformListeners = new Map<number, PlatformListener>();

  private readonly engineListeners = new Map<number, EngineListener>();

  private nextCallId = 1;

  constructor(
    readonly self: EntryVm,
    seed: number,
  ) {
    super(`${self.id}.${self.incarnation}`, seed);
  }

  /**
   * Calls the platform. The listener is called when a reply arrives, and may never be called.
   *
   * @returns the id of the call, for `dropPlatformCall`
   */
  callPlatform(call: PlatformCall, listener: PlatformListener): number {
    const callId = this.createCallId();
    this.platformListeners.set(callId, listener);
    this.emit({ kind: 'platform.call', callId, call });
    return callId;
  }

  /** Removes the listener of a call, so that a later reply is ignored. */
  dropPlatformCall(callId: number): void {
    this.platformListeners.delete(callId);
  }

  /** Passes the reply to the listener of its call. Duplicate and unexpected replies are ignored. */
  handlePlatformReply(callId: number, reply: Result<PlatformReply, PlatformFailure>): void {
    const listener = this.platformListeners.get(callId);
    this.platformListeners.delete(callId);
    listener?.(reply);
  }

  /** Calls an engine. The listener is called when a reply arrives, and may never be called. */
  callEngine(engine: Engine, call: EngineCall, listener: EngineListener): void {
    const callId = this.createCallId();
    this.engineListeners.set(callId, listener);
    this.emit({ kind: 'engine.call', callId, engine, call });
  }

  /** Passes the reply to the listener of its call. Duplicate and unexpected replies are ignored. */
  handleEngineReply(callId: number, reply: Result<EngineReply, EngineCallFailure>): void {
    const listener = this.engineListeners.get(callId);
    this.engineListeners.delete(callId);
    listener?.(reply);
  }

  private createCallId(): number {
    const callId = this.nextCallId;
    this.nextCallId += 1;
    return callId;
  }
}
