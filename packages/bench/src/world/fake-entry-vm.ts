import {
  EntryNode,
  type NodeEffect,
  type NodeEvent,
  type NodeStatus,
  type Readiness,
} from '@savorywind/decisions';
import type { EffectHandlers } from '@savorywind/entry';
import type { EntryVm } from '@savorywind/model';
import { FreezableRunner } from './freezable-runner.js';

export type CreateHandlers = (vm: FakeEntryVm) => EffectHandlers;

/** One incarnation of an entry VM: the product's decisions and runner in a fake process. */
export class FakeEntryVm {
  readiness: Readiness = 'starting';

  configurationVersion = 0;

  private readonly node: EntryNode;

  private readonly runner: FreezableRunner;

  constructor(
    readonly vm: EntryVm,
    seed: number,
    createHandlers: CreateHandlers,
  ) {
    this.node = new EntryNode({ vm, seed });
    this.runner = new FreezableRunner(this.node, createHandlers(this));
  }

  get state() {
    return this.runner.machine.state;
  }

  get isTakingRequests(): boolean {
    return this.state === 'running' && this.readiness === 'ready';
  }

  readStatus(): NodeStatus {
    return this.node.readStatus();
  }

  dispatch(event: NodeEvent): void {
    this.runner.dispatch(event);
  }

  /** Does something in this process: at once, or when it wakes up. */
  run(action: () => void): void {
    this.runner.machine.run(action);
  }

  freeze(): void {
    this.runner.machine.freeze();
  }

  wake(): void {
    this.runner.machine.wake();
  }

  kill(): void {
    this.runner.machine.kill();
    this.runner.stop();
  }
}

export type EffectOf<Kind extends NodeEffect['kind']> = Extract<
  NodeEffect,
  { readonly kind: Kind }
>;
