import { logEvents, resultCodes } from '@savorywind/model';
import type { AttemptFailure } from '../context/types.js';
import type { AttemptStarter } from './attempt-starter.js';
import type { LifecycleDependencies } from './lifecycle-dependencies.js';
import type { ModelRequests } from './model-requests.js';
import { mergeRan, SLOT_OUTCOME_AFTER_FAILURE, RAN_AFTER_FAILURE } from './outcome-tables.js';
import { decideRecovery, type Recovery } from './recovery.js';
import { createFailureRefusal } from './refusals.js';
import type { RequestOperations } from './request-operations.js';
import type { RequestTable } from './request-table.js';
import type { ServiceCalls } from './service-calls.js';
import type { Attempt, ModelRecord, RequestRecord, ServiceRecord } from './types.js';

/** Handles failed attempts: resumes the stream, starts another attempt, or refuses the request. */
export class AttemptRecovery {
  constructor(
    private readonly dependencies: LifecycleDependencies,
    private readonly table: RequestTable,
    private readonly operations: RequestOperations,
    private readonly attemptStarter: AttemptStarter,
    private readonly modelRequests: ModelRequests,
    private readonly serviceCalls: ServiceCalls,
  ) {}

  /**
   * Cancels an attempt at its endpoint and handles it as failed, because its answer is unusable.
   */
  cancelAttempt(record: RequestRecord, failure: AttemptFailure): void {
    this.operations.emitCancel(record);
    this.failAttempt(record, failure);
  }

  /** Handles the failure of the current attempt: records it and starts the recovery. */
  failAttempt(record: RequestRecord, failure: AttemptFailure): void {
    const { attempt, contract } = record;
    if (attempt === undefined) return;
    const { context, membership } = this.dependencies;
    const ran = attempt.hasReceivedHead ? 'yes' : RAN_AFTER_FAILURE[failure];
    record.ran = mergeRan(record.ran, ran);
    if (attempt.mode === 'new') record.runTracker.recordFailure(failure, attempt.hasReceivedHead);
    const { requestId: request } = contract;
    const endpoint = attempt.endpoint.id;
    membership.reportOutcome(endpoint, failure);
    context.log(logEvents.attemptFailed, { request, endpoint, failure });
    this.table.detachAttempt(record);
    this.recover(record, attempt, failure);
  }

  /** Refuses a request whose regenerated answer differs from what the caller has received. */
  refuseDiverged(record: RequestRecord): void {
    const { context } = this.dependencies;
    record.ran = 'yes';
    context.log(logEvents.answerDiverged, { request: record.contract.requestId });
    this.operations.refuse(record, { code: resultCodes.answerDiverged, ran: 'yes' }, 'cancelled');
  }

  private recover(record: RequestRecord, attempt: Attempt, failure: AttemptFailure): void {
    const handlers: Readonly<Record<Recovery, () => void>> = {
      resume: () => {
        record.state = 'resuming';
        record.brokenAttempt = attempt;
        this.operations.scheduleRetry(record, () => this.resumeStream(record, attempt));
      },
      restart: () => this.restart(record, attempt, failure),
      giveUp: () => {
        this.operations.releaseStream(attempt);
        this.operations.refuse(
          record,
          createFailureRefusal(record),
          SLOT_OUTCOME_AFTER_FAILURE[failure],
        );
      },
    };
    handlers[decideRecovery(record, attempt, failure)]();
  }

  private resumeStream(record: RequestRecord, attempt: Attempt): void {
    if (this.operations.mayStart(record, attempt.endpoint))
      this.attemptStarter.resume(record, attempt);
    else this.operations.scheduleRetry(record, () => this.resumeStream(record, attempt));
  }

  private restart(record: RequestRecord, attempt: Attempt, failure: AttemptFailure): void {
    const { contract } = record;
    this.operations.releaseStream(attempt);
    record.failedEndpoints.add(attempt.endpoint.id);
    record.state = 'backingOff';
    if (contract.kind === 'service') {
      this.operations.scheduleRetry(record, () =>
        this.serviceCalls.startOnReplica(record as ServiceRecord),
      );
      return;
    }
    this.dependencies.router.releaseSlot(contract.requestId, SLOT_OUTCOME_AFTER_FAILURE[failure]);
    this.operations.scheduleRetry(record, () => this.modelRequests.queue(record as ModelRecord));
  }
}
