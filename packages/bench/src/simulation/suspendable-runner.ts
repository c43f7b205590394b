import type { NodeEvent } from '@savorywind/decisions';
import { StateMachineRunner } from '@savorywind/entry';
import { FakeProcess } from './fake-process.js';

/** State machine runner of the entry VM that queues events while its process is suspended. */
export class SuspendableRunner extends StateMachineRunner {
  readonly process = new FakeProcess();

  override dispatch(event: NodeEvent): void {
    this.process.run(() => super.dispatch(event));
  }
}
