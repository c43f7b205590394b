import type { LogEvent, LogFields, MonotonicMs } from '@savorywind/model';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { TimerQueue, type Timer } from '../timers/timer-queue.js';

/** The effect that every kind of node can ask for. */
export interface LogEffect {
  readonly kind: 'log';
  readonly event: LogEvent;
  readonly fields: LogFields;
}

/**
 * What the state machines of one process share: the time of the event in hand, timers, random numbers
 * from a seed, and the effects that have been asked for.
 *
 * @example
 * const context = new DecisionContext<GatewayEffect>('entry-1.1733300000000', 7);
 * context.nowMs = nowMs;
 * context.schedule(250, () => context.emit({ kind: 'readiness', ready: true }));
 */
export class DecisionContext<Effect> {
  nowMs: MonotonicMs = 0;

  private readonly timers = new TimerQueue();

  private effects: (Effect | LogEffect)[] = [];

  private readonly generator;

  private nextNumber = 1;

  /** @param name that of this life of the process; no other life of any process has it */
  constructor(
    private readonly name: string,
    seed: number,
  ) {
    this.generator = xoroshiro128plus(seed);
  }

  emit(effect: Effect | LogEffect): void {
    this.effects.push(effect);
  }

  log(event: LogEvent, fields: LogFields = {}): void {
    this.emit({ kind: 'log', event, fields });
  }

  takeEffects(): (Effect | LogEffect)[] {
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

  /** A name that no other life of any process gives. */
  createName(): string {
    const name = `${this.name}.${this.nextNumber}`;
    this.nextNumber += 1;
    return name;
  }
}
