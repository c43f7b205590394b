import type { NodeEvent, RouterName } from '@savorywind/decisions';
import { NodeRunner, type EffectHandlers } from '@savorywind/entry';
import type { EntryVm } from '@savorywind/model';
import { MeasuredNode } from './measured-node.js';

/** One entry VM of an experiment: the product's decisions and runner. */
export class FleetNode {
  readonly node: MeasuredNode;

  engineCalls = 0;

  isReady = false;

  private readonly runner: NodeRunner;

  constructor(
    readonly vm: EntryVm,
    seed: number,
    router: RouterName,
    createHandlers: (node: FleetNode) => EffectHandlers,
  ) {
    this.node = new MeasuredNode({ vm, seed, router });
    this.runner = new NodeRunner(this.node, createHandlers(this));
  }

  dispatch(event: NodeEvent): void {
    this.runner.dispatch(event);
  }

  stop(): void {
    this.runner.stop();
  }
}
