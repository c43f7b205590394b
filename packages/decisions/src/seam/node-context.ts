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

/** What the state machines of one entry VM share, and the replies that they wait for. */
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

  /** @returns the call's number, with which its reply can be dropped */
  callPlatform(call: PlatformCall, listener: PlatformListener): number {
    const callId = this.createCallId();
    this.platformListeners.set(callId, listener);
    this.emit({ kind: 'platform.call', callId, call });
    return callId;
  }

  /** A reply that comes after all is passed over. */
  dropPlatformCall(callId: number): void {
    this.platformListeners.delete(callId);
  }

  /** Takes the reply to a call; one that comes twice, or to nothing asked, is passed over. */
  handlePlatformReply(callId: number, reply: Result<PlatformReply, PlatformFailure>): void {
    const listener = this.platformListeners.get(callId);
    this.platformListeners.delete(callId);
    listener?.(reply);
  }

  callEngine(engine: Engine, call: EngineCall, listener: EngineListener): void {
    const callId = this.createCallId();
    this.engineListeners.set(callId, listener);
    this.emit({ kind: 'engine.call', callId, engine, call });
  }

  acceptEngineReply(callId: number, reply: Result<EngineReply, EngineCallFailure>): void {
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
