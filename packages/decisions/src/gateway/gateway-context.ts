import type { LogEvent, LogFields, MonotonicMs } from '@savorywind/model';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { TimerQueue, type Timer } from '../timers/timer-queue.js';
import type { GatewayEffect } from './types.js';

/** What the gateway's state machines share: the time, timers, random numbers and effects. */
export class GatewayContext {
  nowMs: MonotonicMs = 0;

  private readonly timers = new TimerQueue();

  private effects: GatewayEffect[] = [];

  private readonly generator;

  private nextNumber = 1;

  constructor(
    readonly name: string,
    seed: number,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  emit(effect: GatewayEffect): void {
    this.effects.push(effect);
  }

  log(event: LogEvent, fields: LogFields = {}): void {
    this.emit({ kind: 'log', event, fields });
  }

  takeEffects(): GatewayEffect[] {
    const taken = this.effects;
    this.effects = [];
    return taken;
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

  /** A name that no other life of any entry VM gives. */
  createName(): string {
    const name = `${this.name}.${this.nextNumber}`;
    this.nextNumber += 1;
    return name;
  }
}
