import type { NodeEffect, NodeEvent } from '@savorywind/decisions';

/** Longest wait that a runtime timer takes, in milliseconds. */
const MAX_TIMER_MS = 2_147_483_647;

/** Decisions without input and output: an event in, effects out. */
export interface Decisions<Event, Effect> {
  handle(event: Event, nowMs: number): readonly Effect[];
  /** When the event `woken` is due at the latest. */
  nextWakeMs(): number | undefined;
}

/** One handler for each kind of effect. */
export type HandlersOf<Effect extends { readonly kind: string }> = {
  readonly [Kind in Effect['kind']]: (effect: Extract<Effect, { readonly kind: Kind }>) => void;
};

/**
 * Hands events to the decisions on a clock, and carries out their effects.
 *
 * @example
 * const runner = new NodeRunner(node, handlers);
 * runner.dispatch({ kind: 'started' });
 */
export class NodeRunner<Event = NodeEvent, Effect extends { readonly kind: string } = NodeEffect> {
  private readonly pending: (Event | { readonly kind: 'woken' })[] = [];

  private running = false;

  private timer: NodeJS.Timeout | undefined;

  /** When the timer fires; it may fire early, but never late. */
  private timerDueMs = Number.POSITIVE_INFINITY;

  private stopped = false;

  constructor(
    private readonly node: Decisions<Event | { readonly kind: 'woken' }, Effect>,
    private readonly handlers: HandlersOf<Effect>,
    private readonly readClockMs: () => number = () => performance.now(),
  ) {}

  /** Takes an event; one that comes while effects are carried out waits for its turn. */
  dispatch(event: Event | { readonly kind: 'woken' }): void {
    if (this.stopped) return;
    this.pending.push(event);
    if (this.running) return;
    this.running = true;
    try {
      this.runPending();
    } finally {
      this.running = false;
    }
    this.armTimer();
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private runPending(): void {
    for (let event = this.pending.shift(); event !== undefined; event = this.pending.shift()) {
      this.node.handle(event, this.readClockMs()).forEach((effect) => this.carryOut(effect));
    }
  }

  private carryOut(effect: Effect): void {
    const handler = this.handlers[effect.kind as Effect['kind']] as (effect: Effect) => void;
    handler(effect);
  }

  private armTimer(): void {
    const wakeMs = this.node.nextWakeMs();
    if (wakeMs === undefined || this.stopped || wakeMs >= this.timerDueMs) return;
    clearTimeout(this.timer);
    this.timerDueMs = wakeMs;
    const delayMs = Math.min(Math.max(0, wakeMs - this.readClockMs()), MAX_TIMER_MS);
    this.timer = setTimeout(() => {
      this.timerDueMs = Number.POSITIVE_INFINITY;
      this.dispatch({ kind: 'woken' });
    }, Math.ceil(delayMs));
  }
}
