import { describe, expect, it } from 'vitest';
import { StateMachineRunner, type RunnerFailures } from '../../src/runtime/state-machine-runner.js';

type Event =
  | { readonly kind: 'woken' }
  | { readonly kind: 'work'; readonly effects: readonly string[] }
  | { readonly kind: 'broken' };

interface Effect {
  readonly kind: 'run';
  readonly name: string;
}

/** A state machine whose events name their effects. */
class Script {
  readonly handled: string[] = [];

  handle(event: Event): readonly Effect[] {
    this.handled.push(event.kind);
    if (event.kind === 'broken') throw new Error('half changed');
    if (event.kind !== 'work') return [];
    return event.effects.map((name) => ({ kind: 'run', name }));
  }

  // eslint-disable-next-line class-methods-use-this
  nextWakeMs(): undefined {
    return undefined;
  }
}

const createRunner = (
  failures: Partial<RunnerFailures<Effect>>,
): {
  readonly runner: StateMachineRunner<Event, Effect>;
  readonly script: Script;
  readonly ran: string[];
  readonly broken: unknown[];
} => {
  const ran: string[] = [];
  const broken: unknown[] = [];
  const script = new Script();
  const runner: StateMachineRunner<Event, Effect> = new StateMachineRunner<Event, Effect>(
    script,
    {
      run: ({ name }) => {
        if (name === 'dispatch') runner.dispatch({ kind: 'work', effects: ['queued'] });
        if (name.startsWith('throw')) throw new RangeError(name);
        ran.push(name);
      },
    },
    undefined,
    { onEffectFailed: () => {}, onBroken: (error) => broken.push(error), ...failures },
  );
  return { runner, script, ran, broken };
};

describe('an effect that throws', () => {
  it('costs neither the effects after it nor the events behind it', () => {
    const failed: string[] = [];
    const { runner, ran, broken } = createRunner({
      onEffectFailed: ({ name }) => {
        failed.push(name);
      },
    });
    runner.dispatch({ kind: 'work', effects: ['dispatch', 'throw', 'after'] });
    expect(ran).toEqual(['dispatch', 'after', 'queued']);
    expect(failed).toEqual(['throw']);
    expect(broken).toEqual([]);
  });

  it('may fail its owner by an event, which comes after the effects of the same event', () => {
    const { runner, ran } = createRunner({
      onEffectFailed: () => runner.dispatch({ kind: 'work', effects: ['owner failed'] }),
    });
    runner.dispatch({ kind: 'work', effects: ['throw', 'after'] });
    expect(ran).toEqual(['after', 'owner failed']);
  });

  it('ends everything, once, if it has no owner', () => {
    const { runner, ran, broken } = createRunner({
      onEffectFailed: (_effect, error) => {
        throw error;
      },
    });
    runner.dispatch({ kind: 'work', effects: ['dispatch', 'throw', 'after'] });
    runner.dispatch({ kind: 'work', effects: ['later'] });
    expect(ran).toEqual(['dispatch']);
    expect(broken).toEqual([new RangeError('throw')]);
  });
});

describe('a state machine that throws', () => {
  it('gets no further event, as its state may be half changed, and has no effect any more', () => {
    const { runner, script, ran, broken } = createRunner({});
    runner.dispatch({ kind: 'broken' });
    runner.dispatch({ kind: 'work', effects: ['later'] });
    expect(script.handled).toEqual(['broken']);
    expect(ran).toEqual([]);
    expect(broken).toEqual([new Error('half changed')]);
  });
});
