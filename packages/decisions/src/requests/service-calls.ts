import { resultCodes, type ServiceReplica } from '@savorywind/model';
import type { ClaimDecision } from '../ledger/claim-decisions.js';
import type { AttemptStarter } from './attempt-starter.js';
import { createNotStoredRefusal, type CallerAnswers } from './caller-answers.js';
import type { LifecycleDependencies } from './lifecycle-dependencies.js';
import { describeRepeatability } from './recovery.js';
import { createNoEndpointRefusal } from './refusals.js';
import { pickReplica } from './replica-picker.js';
import type { RequestOperations } from './request-operations.js';
import type { ServiceRecord } from './types.js';

/** Sends calls of plain services to replicas; a call with an idempotency key is claimed first. */
export class ServiceCalls {
  constructor(
    private readonly dependencies: LifecycleDependencies,
    private readonly operations: RequestOperations,
    private readonly attemptStarter: AttemptStarter,
    private readonly answers: CallerAnswers,
  ) {}

  start(record: ServiceRecord): void {
    const repeatability = describeRepeatability(record);
    if (repeatability === 'singleCall' && this.readUnkeyedPolicy(record) === 'refuse') {
      this.operations.refuse(record, { code: resultCodes.keyRequired, ran: 'no' }, 'cancelled');
    } else if (repeatability === 'claimedCall') {
      this.claimCall(record);
    } else {
      this.startOnReplica(record);
    }
  }

  startOnReplica(record: ServiceRecord): void {
    const replica = this.pickReplica(record);
    if (replica === undefined) {
      this.operations.refuse(record, createNoEndpointRefusal(record), 'cancelled');
    } else if (this.operations.mayStart(record, replica)) {
      this.attemptStarter.start(record, replica, 0);
    } else {
      this.operations.scheduleRetry(record, () => this.startOnReplica(record));
    }
  }

  private claimCall(record: ServiceRecord): void {
    if (this.pickReplica(record) === undefined) {
      this.operations.refuse(record, createNoEndpointRefusal(record), 'cancelled');
      return;
    }
    record.state = 'claiming';
    const { contract, deadlineMs } = record;
    this.dependencies.ledger.claim(contract, deadlineMs, (decision) =>
      this.handleClaimDecision(record, decision),
    );
  }

  private handleClaimDecision(record: ServiceRecord, decision: ClaimDecision): void {
    if (decision.kind === 'send') record.claim = decision.claim;
    record.state = 'queued';
    if (this.operations.expireIfLate(record)) return;
    if (decision.kind === 'send') {
      this.startOnReplica(record);
    } else if (decision.kind === 'refused') {
      this.operations.refuse(record, decision.refusal, 'cancelled');
    } else if (decision.answer.kind === 'summary') {
      this.operations.refuse(record, createNotStoredRefusal(decision.answer), 'cancelled');
    } else {
      this.answers.replay(record, decision.answer);
      this.operations.close(record, 'finished');
    }
  }

  private pickReplica({ contract, failedEndpoints }: ServiceRecord): ServiceReplica | undefined {
    const { context, membership, readConfiguration } = this.dependencies;
    const random = context.drawRandom();
    return pickReplica(readConfiguration(), contract.service, failedEndpoints, membership, random);
  }

  /**
   * Policy for calls without a key. It is read from the configuration under which the call was
   * admitted, whereas replicas are picked from the configuration in force.
   */
  // eslint-disable-next-line class-methods-use-this
  private readUnkeyedPolicy({ configuration, contract }: ServiceRecord): 'sendOnce' | 'refuse' {
    const services = configuration?.services ?? [];
    return services.find(({ id }) => id === contract.service)?.unkeyedCalls ?? 'refuse';
  }
}
