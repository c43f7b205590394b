import type { NodeEvent } from '@savorywind/decisions';
import { NodeRunner } from '@savorywind/entry';
import { FakeMachine } from './machine.js';

/** The runner of the product, which holds events back while its process is frozen. */
export class FreezableRunner extends NodeRunner {
  readonly machine = new FakeMachine();

  override dispatch(event: NodeEvent): void {
    this.machine.run(() => super.dispatch(event));
  }
}
