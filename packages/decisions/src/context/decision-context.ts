import type { LogEvent, LogFields, MonotonicMs } from '@savorywind/model';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { TimerQueue, type Timer } from '../timers/timer-queue.js';

/** Effect that writes a log line; every kind of node can emit it. */
export interface LogEffect {
  readonly kind: 'log';
  readonly event: LogEvent;
  readonly fields: LogFields;
}

/**
 * Context shared by the state machines of one process: the time of the current event, timers, a
 * seeded random number generator, and the emitted effects.
 *
 * @example
 * const context = new DecisionContext<GatewayEffect>('entry-1.1733300000000', 7);
 * context.nowMs = nowMs;
 * context.schedule(250, () => context.emit({ kind: 'readiness', ready: true }));
 */
export class DecisionContext<Effect> {
  /** Time of the current event. The node sets it before it handles the event. */
  nowMs: MonotonicMs = 0;

  private readonly timers = new TimerQueue();

  private effects: (Effect | LogEffect)[] = [];

  private readonly generator;

  private nextNumber = 1;

  /**
   * @param name unique name of this process incarnation; the prefix of all ids that it creates
   * @param seed seed of the random number generator
   */
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

  /** Returns the effects emitted since the last call, in order. */
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

  /** Time of the next timer; undefined if there is none. */
  nextWakeMs(): MonotonicMs | undefined {
    return this.timers.findNextDueMs();
  }

  /** Draws a uniformly distributed number from 0 (inclusive) to 1 (exclusive). */
  drawRandom(): number {
    return uniformFloat64(this.generator);
  }

  /** Creates an id that is unique among all incarnations of all processes. */
  createId(): string {
    const id = `${this.name}.${this.nextNumber}`;
    this.nextNumber += 1;
    return id;
  }
}
