import type { SlotDecision } from '../routing/types.js';
import type { AttemptStarter } from './attempt-starter.js';
import type { LifecycleDependencies } from './lifecycle-dependencies.js';
import { mergeRan } from './outcome-tables.js';
import type { RequestOperations } from './request-operations.js';
import type { RequestTable } from './request-table.js';
import type { ModelRecord } from './types.js';

/** Requests a slot for each model request and starts the attempt on the granted engine. */
export class ModelRequests {
  constructor(
    private readonly dependencies: LifecycleDependencies,
    private readonly table: RequestTable,
    private readonly operations: RequestOperations,
    private readonly attemptStarter: AttemptStarter,
  ) {}

  queue(record: ModelRecord): void {
    const { contract, deadlineMs, failedEndpoints } = record;
    record.state = 'queued';
    this.dependencies.router.requestSlot(
      { contract, deadlineMs, failedEngines: failedEndpoints },
      (decision) => {
        if (this.table.find(contract.requestId) === record)
          this.handleSlotDecision(record, decision);
      },
    );
  }

  private handleSlotDecision(record: ModelRecord, decision: SlotDecision): void {
    if (this.operations.expireIfLate(record)) return;
    if (decision.kind === 'refused') {
      const ran = mergeRan(record.ran, decision.refusal.ran);
      this.operations.refuse(record, { ...decision.refusal, ran }, 'cancelled');
      return;
    }
    const { engine, priority } = decision;
    if (this.operations.mayStart(record, engine)) {
      this.attemptStarter.start(record, engine, priority);
      return;
    }
    this.dependencies.router.releaseSlot(record.contract.requestId, 'cancelled');
    this.operations.scheduleRetry(record, () => this.queue(record));
  }
}
