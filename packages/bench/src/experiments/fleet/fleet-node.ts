import type { NodeEvent, RouterName } from '@savorywind/decisions';
import { StateMachineRunner, type EffectHandlers } from '@savorywind/entry';
import type { EntryVm } from '@savorywind/model';
import { MeasuredNode } from './measured-node.js';

/** One simulated entry VM: its state machine and the runner that executes its effects. */
export class FleetNode {
  readonly node: MeasuredNode;

  /** Number of calls to engines so far. */
  engineCalls = 0;

  isReady = false;

  private readonly runner: StateMachineRunner;

  constructor(
    readonly vm: EntryVm,
    seed: number,
    router: RouterName,
    createHandlers: (node: FleetNode) => EffectHandlers,
  ) {
    this.node = new MeasuredNode({ vm, seed, router });
    this.runner = new StateMachineRunner(this.node, createHandlers(this));
  }

  dispatch(event: NodeEvent): void {
    this.runner.dispatch(event);
  }

  stop(): void {
    this.runner.stop();
  }
}
