import type { SlotDecision } from '../routing/types.js';
import type { AttemptStarter } from './attempt-starter.js';
import type { LifecycleDependencies } from './lifecycle-dependencies.js';
import { mergeRan } from './outcome-tables.js';
import type { RequestSteps } from './request-steps.js';
import type { RequestTable } from './request-table.js';
import type { ModelRecord } from './types.js';

/** Requests to models: from the queue to an engine. */
export class ModelRequests {
  constructor(
    private readonly dependencies: LifecycleDependencies,
    private readonly table: RequestTable,
    private readonly steps: RequestSteps,
    private readonly starter: AttemptStarter,
  ) {}

  queue(record: ModelRecord): void {
    const { contract, deadlineMs, avoided: avoid } = record;
    record.state = 'queued';
    this.dependencies.router.requestSlot({ contract, deadlineMs, failedEngines: avoid }, (decision) => {
      if (this.table.find(contract.requestId) === record) this.acceptSlot(record, decision);
    });
  }

  private acceptSlot(record: ModelRecord, decision: SlotDecision): void {
    if (this.steps.expireIfLate(record)) return;
    if (decision.kind === 'refused') {
      const ran = mergeRan(record.ran, decision.refusal.ran);
      this.steps.refuse(record, { ...decision.refusal, ran }, 'cancelled');
      return;
    }
    const { engine, priority } = decision;
    if (this.steps.mayStart(record, engine)) {
      this.starter.start(record, engine, priority);
      return;
    }
    this.dependencies.router.releaseSlot(record.contract.requestId, 'cancelled');
    this.steps.backOff(record, () => this.queue(record));
  }
}
