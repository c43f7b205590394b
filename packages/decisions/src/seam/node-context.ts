import type {
  Engine,
  EntryVm,
  LogEvent,
  LogFields,
  MonotonicMs,
  PlatformCall,
  PlatformFailure,
  PlatformReply,
  Result,
} from '@savorywind/model';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { TimerQueue, type Timer } from '../timers/timer-queue.js';
import type { EngineCall, EngineCallFailure, EngineReply, NodeEffect } from './types.js';

type PlatformListener = (reply: Result<PlatformReply, PlatformFailure>) => void;
type EngineListener = (reply: Result<EngineReply, EngineCallFailure>) => void;

/**
 * What the state machines of one entry VM share: the time of the event in hand, timers, random
 * numbers from a seed, and the effects that have been asked for.
 */
export class NodeContext {
  nowMs: MonotonicMs = 0;

  private readonly timers = new TimerQueue();

  private effects: NodeEffect[] = [];

  private readonly platformListeners = new Map<number, PlatformListener>();

  private readonly engineListeners = new Map<number, EngineListener>();

  private nextCallId = 1;

  private nextName = 1;

  private readonly generator;

  constructor(
    readonly self: EntryVm,
    seed: number,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  emit(effect: NodeEffect): void {
    this.effects.push(effect);
  }

  takeEffects(): NodeEffect[] {
    const taken = this.effects;
    this.effects = [];
    return taken;
  }

  log(event: LogEvent, fields: LogFields = {}): void {
    this.emit({ kind: 'log', event, fields });
  }

  schedule(delayMs: number, callback: () => void): Timer {
    return this.timers.schedule(this.nowMs + delayMs, callback);
  }

  runDueTimers(): void {
    this.timers.runDue(this.nowMs);
  }

  nextWakeMs(): MonotonicMs | undefined {
    return this.timers.nextDueMs();
  }

  /** A uniform number from 0 (included) to 1 (excluded). */
  drawRandom(): number {
    return uniformFloat64(this.generator);
  }

  /** A name that no other incarnation of any entry VM ever gives. */
  createName(): string {
    const name = `${this.self.id}.${this.self.incarnation}.${this.nextName}`;
    this.nextName += 1;
    return name;
  }

  /** @returns the call's number, with which its reply can be dropped */
  callPlatform(call: PlatformCall, listener: PlatformListener): number {
    const callId = this.takeCallId();
    this.platformListeners.set(callId, listener);
    this.emit({ kind: 'platform.call', callId, call });
    return callId;
  }

  /** A reply that comes after all is passed over. */
  dropPlatformCall(callId: number): void {
    this.platformListeners.delete(callId);
  }

  /** Takes the reply to a call; one that comes twice, or to nothing asked, is passed over. */
  acceptPlatformReply(callId: number, reply: Result<PlatformReply, PlatformFailure>): void {
    const listener = this.platformListeners.get(callId);
    this.platformListeners.delete(callId);
    listener?.(reply);
  }

  callEngine(engine: Engine, call: EngineCall, listener: EngineListener): void {
    const callId = this.takeCallId();
    this.engineListeners.set(callId, listener);
    this.emit({ kind: 'engine.call', callId, engine, call });
  }

  acceptEngineReply(callId: number, reply: Result<EngineReply, EngineCallFailure>): void {
    const listener = this.engineListeners.get(callId);
    this.engineListeners.delete(callId);
    listener?.(reply);
  }

  private takeCallId(): number {
    const callId = this.nextCallId;
    this.nextCallId += 1;
    return callId;
  }
}
