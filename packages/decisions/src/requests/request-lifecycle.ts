import {
  logEvents,
  resultCodes,
  type AttemptId,
  type Configuration,
  type Endpoint,
  type Ran,
  type Refusal,
  type RequestContract,
  type RequestId,
  type ServiceReplica,
} from '@savorywind/model';
import type { ClaimLedger } from '../ledger/claim-ledger.js';
import type { Router, SlotOutcome } from '../routing/types.js';
import type { NodeContext } from '../seam/node-context.js';
import type { AttemptFailure, NodeEvent, RequestView } from '../seam/types.js';
import type { ModelRecord, RequestRecord, ServiceRecord } from './types.js';

type AttemptEvent = Extract<NodeEvent, { readonly attemptId: AttemptId }>;
type EventOf<Kind extends AttemptEvent['kind']> = Extract<AttemptEvent, { readonly kind: Kind }>;

const RAN_AFTER_FAILURE: Readonly<Record<AttemptFailure, Ran>> = {
  notSent: 'no',
  rejected: 'no',
  broken: 'unknown',
  invalid: 'unknown',
};

const OUTCOME_AFTER_FAILURE: Readonly<Record<AttemptFailure, SlotOutcome>> = {
  notSent: 'notSent',
  rejected: 'rejected',
  broken: 'broken',
  invalid: 'broken',
};

interface Dependencies {
  readonly context: NodeContext;
  readonly router: Router;
  readonly ledger: ClaimLedger;
  readonly readConfiguration: () => Configuration | undefined;
  readonly onIdle: () => void;
}

/** Takes each request from arrival to exactly one final answer within its time. */
export class RequestLifecycle {
  private readonly records = new Map<RequestId, RequestRecord>();

  private readonly requestByAttempt = new Map<AttemptId, RequestId>();

  constructor(private readonly dependencies: Dependencies) {}

  get inFlight(): number {
    return this.records.size;
  }

  listViews(): RequestView[] {
    return [...this.records.values()].map((record) => this.viewRecord(record));
  }

  admit(contract: RequestContract): void {
    const { context } = this.dependencies;
    const record: RequestRecord = {
      contract,
      configuration: this.dependencies.readConfiguration(),
      arrivedAtMs: context.nowMs,
      deadlineMs: context.nowMs + contract.timeoutMs,
      deadlineTimer: context.schedule(contract.timeoutMs, () => this.expire(contract.requestId)),
      state: 'queued',
      endpoint: undefined,
      attemptId: undefined,
      sentCount: 0,
      headSent: false,
    };
    this.records.set(contract.requestId, record);
    context.log(logEvents.requestAdmitted, { request: contract.requestId, team: contract.team });
    if (contract.kind === 'model') this.queueModelRequest(record as ModelRecord);
    else this.beginServiceCall(record as ServiceRecord);
  }

  /** The caller went away: nobody is left to answer, so only the endpoint is told. */
  abandon(requestId: RequestId): void {
    const record = this.records.get(requestId);
    if (record === undefined) return;
    this.close(record, 'cancelled');
  }

  acceptHead(event: EventOf<'attempt.headReceived'>): void {
    const record = this.findByAttempt(event.attemptId);
    if (record === undefined || record.headSent) return;
    record.state = 'streaming';
    record.headSent = true;
    this.dependencies.context.emit({
      kind: 'caller.sendHead',
      requestId: record.contract.requestId,
      head: event.head,
    });
  }

  /** Passes on what the caller has not had yet; what came twice is cut away, a gap is a fault. */
  acceptChunk(event: EventOf<'attempt.chunkReceived'>): void {
    const record = this.findByAttempt(event.attemptId);
    if (record === undefined || event.offset + event.count <= record.sentCount) return;
    if (event.offset !== record.sentCount) {
      this.failAttempt(record, 'invalid');
      return;
    }
    record.sentCount += event.count;
    this.dependencies.context.emit({
      kind: 'caller.sendChunk',
      requestId: record.contract.requestId,
      count: event.count,
      data: event.data,
    });
  }

  acceptEnd(event: EventOf<'attempt.ended'>): void {
    const record = this.findByAttempt(event.attemptId);
    if (record === undefined) return;
    if (event.total !== record.sentCount) {
      this.failAttempt(record, 'invalid');
      return;
    }
    const { requestId } = record.contract;
    const { context } = this.dependencies;
    context.emit({ kind: 'caller.finish', requestId, reason: event.reason, usage: event.usage });
    context.log(logEvents.requestFinished, {
      request: requestId,
      team: record.contract.team,
      totalMs: context.nowMs - record.arrivedAtMs,
    });
    this.close(record, 'finished');
  }

  acceptFailure(event: EventOf<'attempt.failed'>): void {
    const record = this.findByAttempt(event.attemptId);
    if (record !== undefined) this.failAttempt(record, event.failure);
  }

  private queueModelRequest(record: ModelRecord): void {
    const { contract, deadlineMs } = record;
    this.dependencies.router.askSlot({ contract, deadlineMs }, (decision) => {
      if (!this.records.has(contract.requestId)) return;
      if (decision.kind === 'refused') this.refuse(record, decision.refusal, 'cancelled');
      else this.startAttempt(record, decision.engine, decision.priority);
    });
  }

  private beginServiceCall(record: ServiceRecord): void {
    const { contract } = record;
    const replica = this.findReplica(record);
    if (replica === undefined) {
      this.refuse(record, { code: resultCodes.noEndpoint, ran: 'no' }, 'cancelled');
      return;
    }
    if (contract.idempotency === 'idempotent' || contract.idempotencyKey === undefined) {
      this.startAttempt(record, replica, 0);
      return;
    }
    record.state = 'claiming';
    this.dependencies.ledger.claim(contract, (decision) => {
      if (!this.records.has(contract.requestId)) return;
      if (decision.kind === 'refused') this.refuse(record, decision.refusal, 'cancelled');
      else this.startAttempt(record, replica, 0);
    });
  }

  private startAttempt(record: RequestRecord, endpoint: Endpoint, priority: number): void {
    const { context } = this.dependencies;
    const { contract } = record;
    const attemptId = context.createName();
    record.state = 'connecting';
    record.endpoint = endpoint;
    record.attemptId = attemptId;
    this.requestByAttempt.set(attemptId, contract.requestId);
    const repeatable = contract.kind === 'model' || contract.idempotency === 'idempotent';
    context.emit({
      kind: 'attempt.start',
      attemptId,
      requestId: contract.requestId,
      endpoint,
      streamId: attemptId,
      mode: 'new',
      offset: 0,
      priority,
      timeoutMs: record.deadlineMs - context.nowMs,
      deadlineMs: record.deadlineMs,
      connection: repeatable ? 'pooled' : 'fresh',
    });
  }

  private failAttempt(record: RequestRecord, failure: AttemptFailure): void {
    const ran = record.headSent ? 'yes' : RAN_AFTER_FAILURE[failure];
    const code = record.headSent ? resultCodes.answerTruncated : resultCodes.endpointFailed;
    this.dependencies.context.log(logEvents.attemptFailed, {
      request: record.contract.requestId,
      endpoint: record.endpoint?.id,
      failure,
    });
    this.refuse(record, { code, ran }, OUTCOME_AFTER_FAILURE[failure]);
  }

  private expire(requestId: RequestId): void {
    const record = this.records.get(requestId);
    if (record === undefined) return;
    const ran = record.attemptId === undefined ? 'no' : 'unknown';
    this.refuse(record, { code: resultCodes.timeout, ran }, 'cancelled');
  }

  private refuse(record: RequestRecord, refusal: Refusal, outcome: SlotOutcome): void {
    const { context } = this.dependencies;
    const { requestId, team } = record.contract;
    context.emit({ kind: 'caller.refuse', requestId, refusal });
    context.log(logEvents.requestRefused, {
      request: requestId,
      team,
      code: refusal.code.code,
      ran: refusal.ran,
    });
    this.close(record, outcome);
  }

  private close(record: RequestRecord, outcome: SlotOutcome): void {
    const { context, router, onIdle } = this.dependencies;
    const { requestId } = record.contract;
    record.deadlineTimer.cancel();
    this.records.delete(requestId);
    router.withdrawAsk(requestId);
    if (record.attemptId !== undefined) {
      this.requestByAttempt.delete(record.attemptId);
      if (outcome === 'cancelled') {
        context.emit({ kind: 'attempt.cancel', attemptId: record.attemptId });
      }
    }
    router.releaseSlot(requestId, outcome);
    if (this.records.size === 0) onIdle();
  }

  private findReplica({ configuration, contract }: ServiceRecord): ServiceReplica | undefined {
    const { context } = this.dependencies;
    const replicas = (configuration?.endpoints ?? []).filter(
      (endpoint): endpoint is ServiceReplica =>
        endpoint.kind === 'service' && endpoint.service === contract.service,
    );
    return replicas[Math.floor(context.drawRandom() * replicas.length)];
  }

  private findByAttempt(attemptId: AttemptId): RequestRecord | undefined {
    const requestId = this.requestByAttempt.get(attemptId);
    return requestId === undefined ? undefined : this.records.get(requestId);
  }

  private viewRecord(record: RequestRecord): RequestView {
    const { contract } = record;
    return {
      requestId: contract.requestId,
      team: contract.team,
      target: contract.kind === 'model' ? contract.model : contract.service,
      state: record.state,
      endpoint: record.endpoint?.id,
      ageMs: this.dependencies.context.nowMs - record.arrivedAtMs,
      timeoutMs: contract.timeoutMs,
    };
  }
}
