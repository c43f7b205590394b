import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { StateMachineRunner, type StateMachine } from '../../src/runtime/state-machine-runner.js';

interface Woken {
  readonly kind: 'woken';
}

const DUE_AFTER_MS = 5;
const BLOCKED_MS = 60;

/** Needs one timer, `DUE_AFTER_MS` after its creation. */
class OneTimer implements StateMachine<Woken, Woken> {
  private wakeMs: number | undefined = performance.now() + DUE_AFTER_MS;

  handle(_event: Woken, nowMs: number): readonly Woken[] {
    if (this.wakeMs !== undefined && nowMs >= this.wakeMs) this.wakeMs = undefined;
    return [];
  }

  nextWakeMs(): number | undefined {
    return this.wakeMs;
  }
}

const blockProcess = (durationMs: number): void => {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
};

describe('the longest delay of a timer', () => {
  let runner: StateMachineRunner<Woken, Woken>;

  afterEach(() => runner.stop());

  it('shows how long the process was busy, and is zero after it was read', async () => {
    runner = new StateMachineRunner<Woken, Woken>(new OneTimer(), { woken: () => {} });
    runner.dispatch({ kind: 'woken' });
    blockProcess(BLOCKED_MS);
    await delay(1);
    expect(runner.takeLongestTimerDelayMs()).toBeGreaterThan(BLOCKED_MS - 2 * DUE_AFTER_MS);
    expect(runner.takeLongestTimerDelayMs()).toBe(0);
  });
});
