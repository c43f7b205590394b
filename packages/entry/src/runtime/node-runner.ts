import type { EntryNode, NodeEffect, NodeEvent } from '@savorywind/decisions';
import type { EffectHandlers } from './effects/types.js';

/** Longest wait that a runtime timer takes, in milliseconds. */
const MAX_TIMER_MS = 2_147_483_647;

/** Hands events to the decisions on the clock of the runtime, and carries out their effects. */
export class NodeRunner {
  private readonly pending: NodeEvent[] = [];

  private running = false;

  private timer: NodeJS.Timeout | undefined;

  private stopped = false;

  constructor(
    private readonly node: EntryNode,
    private readonly handlers: EffectHandlers,
  ) {}

  /** Takes an event; one that comes while effects are carried out waits for its turn. */
  dispatch(event: NodeEvent): void {
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
      this.node.handle(event, performance.now()).forEach((effect) => this.carryOut(effect));
    }
  }

  private carryOut(effect: NodeEffect): void {
    const handler = this.handlers[effect.kind] as (effect: NodeEffect) => void;
    handler(effect);
  }

  private armTimer(): void {
    clearTimeout(this.timer);
    const wakeMs = this.node.nextWakeMs();
    if (wakeMs === undefined || this.stopped) return;
    const delayMs = Math.min(Math.max(0, wakeMs - performance.now()), MAX_TIMER_MS);
    this.timer = setTimeout(() => this.dispatch({ kind: 'woken' }), Math.ceil(delayMs));
  }
}
