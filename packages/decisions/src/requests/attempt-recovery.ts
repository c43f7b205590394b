import { logEvents, resultCodes } from '@savorywind/model';
import type { AttemptFailure } from '../seam/types.js';
import type { AttemptStarter } from './attempt-starter.js';
import type { LifecycleDependencies } from './lifecycle-dependencies.js';
import type { ModelRequests } from './model-requests.js';
import { mergeRan, OUTCOME_AFTER_FAILURE, RAN_AFTER_FAILURE } from './outcome-tables.js';
import { decideRecovery, type Recovery } from './recovery.js';
import { createFailure } from './refusals.js';
import type { RequestSteps } from './request-steps.js';
import type { RequestTable } from './request-table.js';
import type { ServiceCalls } from './service-calls.js';
import type { Attempt, ModelRecord, RequestRecord, ServiceRecord } from './types.js';

/** What follows an attempt that failed. */
export class AttemptRecovery {
  constructor(
    private readonly dependencies: LifecycleDependencies,
    private readonly table: RequestTable,
    private readonly steps: RequestSteps,
    private readonly starter: AttemptStarter,
    private readonly modelRequests: ModelRequests,
    private readonly serviceCalls: ServiceCalls,
  ) {}

  /** Ends an attempt whose answer can't be used, and tells the endpoint. */
  cancelAttempt(record: RequestRecord, failure: AttemptFailure): void {
    this.steps.emitCancel(record);
    this.failAttempt(record, failure);
  }

  failAttempt(record: RequestRecord, failure: AttemptFailure): void {
    const { attempt, contract } = record;
    if (attempt === undefined) return;
    const { context, membership } = this.dependencies;
    const ran = attempt.headReceived ? 'yes' : RAN_AFTER_FAILURE[failure];
    record.ran = mergeRan(record.ran, ran);
    if (attempt.mode === 'new') record.evidence.recordFailure(failure, attempt.headReceived);
    const { requestId: request } = contract;
    const endpoint = attempt.endpoint.id;
    membership.reportOutcome(endpoint, failure);
    context.log(logEvents.attemptFailed, { request, endpoint, failure });
    this.table.detachAttempt(record);
    this.recover(record, attempt, failure);
  }

  refuseDiverged(record: RequestRecord): void {
    const { context } = this.dependencies;
    record.ran = 'yes';
    context.log(logEvents.answerDiverged, { request: record.contract.requestId });
    this.steps.refuse(record, { code: resultCodes.answerDiverged, ran: 'yes' }, 'cancelled');
  }

  private recover(record: RequestRecord, attempt: Attempt, failure: AttemptFailure): void {
    const handlers: Readonly<Record<Recovery, () => void>> = {
      resume: () => {
        record.state = 'resuming';
        record.broken = attempt;
        this.steps.backOff(record, () => this.resumeStream(record, attempt));
      },
      restart: () => this.restart(record, attempt, failure),
      giveUp: () => {
        this.steps.releaseStream(attempt);
        this.steps.refuse(record, createFailure(record), OUTCOME_AFTER_FAILURE[failure]);
      },
    };
    handlers[decideRecovery(record, attempt, failure)]();
  }

  private resumeStream(record: RequestRecord, attempt: Attempt): void {
    if (this.steps.mayStart(record, attempt.endpoint)) this.starter.resume(record, attempt);
    else this.steps.backOff(record, () => this.resumeStream(record, attempt));
  }

  private restart(record: RequestRecord, attempt: Attempt, failure: AttemptFailure): void {
    const { contract } = record;
    this.steps.releaseStream(attempt);
    record.avoided.add(attempt.endpoint.id);
    record.state = 'backingOff';
    if (contract.kind === 'service') {
      this.steps.backOff(record, () => this.serviceCalls.startOnReplica(record as ServiceRecord));
      return;
    }
    this.dependencies.router.releaseSlot(contract.requestId, OUTCOME_AFTER_FAILURE[failure]);
    this.steps.backOff(record, () => this.modelRequests.queue(record as ModelRecord));
  }
}
