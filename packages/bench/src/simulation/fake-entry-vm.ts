import {
  EntryNode,
  type NodeEffect,
  type NodeEvent,
  type NodeStatus,
  type Readiness,
} from '@savorywind/decisions';
import type { EffectHandlers } from '@savorywind/entry';
import type { EntryVm } from '@savorywind/model';
import { SuspendableRunner } from './suspendable-runner.js';

/** Creates the handlers that execute the effects of an entry VM in the simulation. */
export type CreateHandlers = (entryVm: FakeEntryVm) => EffectHandlers;

/** One incarnation of an entry VM: the real state machine and its runner in a simulated process. */
export class FakeEntryVm {
  readiness: Readiness = 'starting';

  /** Configuration version in force; 0 until the first one is adopted. */
  configurationVersion = 0;

  private readonly node: EntryNode;

  private readonly runner: SuspendableRunner;

  constructor(
    readonly identity: EntryVm,
    seed: number,
    createHandlers: CreateHandlers,
  ) {
    this.node = new EntryNode({ vm: identity, seed });
    this.runner = new SuspendableRunner(this.node, createHandlers(this));
  }

  get state() {
    return this.runner.process.state;
  }

  get isAcceptingRequests(): boolean {
    return this.state === 'running' && this.readiness === 'ready';
  }

  readStatus(): NodeStatus {
    return this.node.readStatus();
  }

  dispatch(event: NodeEvent): void {
    this.runner.dispatch(event);
  }

  /** Runs an action in this process, or queues it until the process resumes. */
  run(action: () => void): void {
    this.runner.process.run(action);
  }

  suspend(): void {
    this.runner.process.suspend();
  }

  resume(): void {
    this.runner.process.resume();
  }

  kill(): void {
    this.runner.process.kill();
    this.runner.stop();
  }
}

/** The effect of the state machine with the given kind. */
export type EffectOf<Kind extends NodeEffect['kind']> = Extract<
  NodeEffect,
  { readonly kind: Kind }
>;
