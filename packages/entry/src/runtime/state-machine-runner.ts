import type { NodeEffect, NodeEvent } from '@savorywind/decisions';

/** Longest delay that setTimeout supports, in milliseconds. */
const MAX_TIMER_MS = 2_147_483_647;

/** A state machine that performs no I/O: it maps each event to a list of effects. */
export interface StateMachine<Event, Effect> {
  handle(event: Event, nowMs: number): readonly Effect[];
  /** Latest time at which the event `woken` must be dispatched; undefined if none is needed. */
  nextWakeMs(): number | undefined;
}

/** One handler for each kind of effect. */
export type EffectHandlersOf<Effect extends { readonly kind: string }> = {
  readonly [Kind in Effect['kind']]: (effect: Extract<Effect, { readonly kind: Kind }>) => void;
};

/** What becomes of exceptions while a state machine runs. */
export interface RunnerFailures<Effect> {
  /**
   * Called for an effect whose handler has thrown, to fail the owner of the effect. Throws if it has none;
   * then nothing is run any more.
   */
  readonly onEffectFailed: (effect: Effect, error: unknown) => void;
  /**
   * Called if nothing can be run any more: the state machine has thrown, so that its state may be half
   * changed, or an effect without an owner has.
   */
  readonly onBroken: (error: unknown) => void;
}

const throwIt = (error: unknown): never => {
  throw error;
};

/** Without owners, each exception reaches the caller of `dispatch`. */
const NO_OWNERS: RunnerFailures<unknown> = {
  onEffectFailed: (_effect, error) => throwIt(error),
  onBroken: throwIt,
};

/**
 * Runs a state machine: passes it events with the current time, executes the effects that it returns,
 * and wakes it when its timer is due.
 *
 * @example
 * const runner = new StateMachineRunner(node, handlers);
 * runner.dispatch({ kind: 'started' });
 */
export class StateMachineRunner<
  Event = NodeEvent,
  Effect extends { readonly kind: string } = NodeEffect,
> {
  private readonly pendingEvents: (Event | { readonly kind: 'woken' })[] = [];

  private running = false;

  private timer: NodeJS.Timeout | undefined;

  /** When the timer is due. It may be earlier than the state machine needs, but never later. */
  private timerDueMs = Number.POSITIVE_INFINITY;

  private longestTimerDelayMs = 0;

  private stopped = false;

  constructor(
    private readonly stateMachine: StateMachine<Event | { readonly kind: 'woken' }, Effect>,
    private readonly handlers: EffectHandlersOf<Effect>,
    private readonly readClockMs: () => number = () => performance.now(),
    private readonly failures: RunnerFailures<Effect> = NO_OWNERS,
  ) {}

  /**
   * Processes an event. Events dispatched while effects are executed are queued. An effect that fails costs
   * neither the effects after it nor the events behind it.
   */
  dispatch(event: Event | { readonly kind: 'woken' }): void {
    if (this.stopped) return;
    this.pendingEvents.push(event);
    if (this.running) return;
    this.running = true;
    try {
      this.runPendingEvents();
      this.armTimer();
    } catch (error) {
      this.stop();
      this.pendingEvents.length = 0;
      this.failures.onBroken(error);
    } finally {
      this.running = false;
    }
  }

  /**
   * Returns by how much a timer was late at most since the last call, in milliseconds: how long events
   * wait while the process is busy or gets no processor time.
   */
  takeLongestTimerDelayMs(): number {
    const delayMs = this.longestTimerDelayMs;
    this.longestTimerDelayMs = 0;
    return delayMs;
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private runPendingEvents(): void {
    for (
      let event = this.pendingEvents.shift();
      event !== undefined;
      event = this.pendingEvents.shift()
    ) {
      this.stateMachine
        .handle(event, this.readClockMs())
        .forEach((effect) => this.runEffect(effect));
    }
  }

  private runEffect(effect: Effect): void {
    const handler = this.handlers[effect.kind as Effect['kind']] as (effect: Effect) => void;
    try {
      handler(effect);
    } catch (error) {
      this.failures.onEffectFailed(effect, error);
    }
  }

  private armTimer(): void {
    const wakeMs = this.stateMachine.nextWakeMs();
    if (wakeMs === undefined || this.stopped || wakeMs >= this.timerDueMs) return;
    clearTimeout(this.timer);
    this.timerDueMs = wakeMs;
    const delayMs = Math.min(Math.max(0, wakeMs - this.readClockMs()), MAX_TIMER_MS);
    this.timer = setTimeout(() => {
      const lateMs = this.readClockMs() - this.timerDueMs;
      this.longestTimerDelayMs = Math.max(this.longestTimerDelayMs, lateMs);
      this.timerDueMs = Number.POSITIVE_INFINITY;
      this.dispatch({ kind: 'woken' });
    }, Math.ceil(delayMs));
  }
}
