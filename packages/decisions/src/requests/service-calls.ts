import { resultCodes, type ServiceReplica } from '@savorywind/model';
import type { ClaimDecision } from '../ledger/claim-decisions.js';
import type { AttemptStarter } from './attempt-starter.js';
import { createNotStored, type CallerAnswers } from './caller-answers.js';
import type { LifecycleDependencies } from './lifecycle-dependencies.js';
import { describeRepeatability } from './recovery.js';
import { createNoEndpoint } from './refusals.js';
import { pickReplica } from './replica-choice.js';
import type { RequestSteps } from './request-steps.js';
import type { ServiceRecord } from './types.js';

/** Calls of plain services: claimed where that is needed, then sent to a replica. */
export class ServiceCalls {
  constructor(
    private readonly dependencies: LifecycleDependencies,
    private readonly steps: RequestSteps,
    private readonly starter: AttemptStarter,
    private readonly answers: CallerAnswers,
  ) {}

  begin(record: ServiceRecord): void {
    const repeatability = describeRepeatability(record);
    if (repeatability === 'singleCall' && this.readUnkeyedPolicy(record) === 'refuse') {
      this.steps.refuse(record, { code: resultCodes.keyRequired, ran: 'no' }, 'cancelled');
    } else if (repeatability === 'claimedCall') {
      this.claimCall(record);
    } else {
      this.startOnReplica(record);
    }
  }

  startOnReplica(record: ServiceRecord): void {
    const replica = this.pickReplica(record);
    if (replica === undefined) {
      this.steps.refuse(record, createNoEndpoint(record), 'cancelled');
    } else if (this.steps.mayStart(record, replica)) {
      this.starter.start(record, replica, 0);
    } else {
      this.steps.backOff(record, () => this.startOnReplica(record));
    }
  }

  private claimCall(record: ServiceRecord): void {
    if (this.pickReplica(record) === undefined) {
      this.steps.refuse(record, createNoEndpoint(record), 'cancelled');
      return;
    }
    record.state = 'claiming';
    const { contract, deadlineMs } = record;
    this.dependencies.ledger.claim(contract, deadlineMs, (decision) =>
      this.acceptClaim(record, decision),
    );
  }

  private acceptClaim(record: ServiceRecord, decision: ClaimDecision): void {
    if (decision.kind === 'send') record.claim = decision.claim;
    record.state = 'queued';
    if (this.steps.expireIfLate(record)) return;
    if (decision.kind === 'send') {
      this.startOnReplica(record);
    } else if (decision.kind === 'refused') {
      this.steps.refuse(record, decision.refusal, 'cancelled');
    } else if (decision.answer.kind === 'summary') {
      this.steps.refuse(record, createNotStored(decision.answer), 'cancelled');
    } else {
      this.answers.replay(record, decision.answer);
      this.steps.close(record, 'finished');
    }
  }

  private pickReplica({ contract, avoided }: ServiceRecord): ServiceReplica | undefined {
    const { context, membership, readConfiguration } = this.dependencies;
    const random = context.drawRandom();
    return pickReplica(readConfiguration(), contract.service, avoided, membership, random);
  }

  /** A request keeps the policy under which it was admitted; endpoints are those in force. */
  // eslint-disable-next-line class-methods-use-this
  private readUnkeyedPolicy({ configuration, contract }: ServiceRecord): 'sendOnce' | 'refuse' {
    const services = configuration?.services ?? [];
    return services.find(({ id }) => id === contract.service)?.unkeyedCalls ?? 'refuse';
  }
}
