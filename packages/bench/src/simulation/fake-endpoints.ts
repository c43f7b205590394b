import {
  Err,
  type Endpoint,
  type EntryVmId,
  type RequestContract,
  type RequestId,
} from '@savorywind/model';
import { FakeConnection } from './fake-connection.js';
import { FakeEngine } from './fake-engine.js';
import type { EffectOf, FakeEntryVm } from './fake-entry-vm.js';
import { FakeService, type ExecutionLog } from './fake-service.js';
import type { FakeNetwork } from './fake-network.js';
import type { EventLog } from './event-log.js';

interface RunningAttempt {
  readonly start: EffectOf<'attempt.start'>;
  readonly connection: FakeConnection;
}

/** Time until an attempt to connect to an unreachable endpoint fails. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Simulated engines and services, and the attempts that entry VMs send to them. */
export class FakeEndpoints {
  /** Number of requests that entry VMs have sent to endpoints, including resumed streams. */
  attemptCount = 0;

  readonly engines = new Map<string, FakeEngine>();

  readonly services = new Map<string, FakeService>();

  private readonly attempts = new Map<EntryVmId, Map<string, RunningAttempt>>();

  constructor(
    private readonly network: FakeNetwork,
    private readonly eventLog: EventLog,
    private readonly executions: ExecutionLog,
    private readonly findContract: (requestId: RequestId) => RequestContract | undefined,
  ) {}

  add(endpoint: Endpoint): void {
    const record = (text: string): void => this.eventLog.record(text);
    if (endpoint.kind === 'engine') {
      this.engines.set(endpoint.id, new FakeEngine(endpoint, record));
    } else {
      this.services.set(endpoint.id, new FakeService(endpoint, this.executions, record));
    }
  }

  /** Clears the attempts of the previous incarnation of an entry VM. */
  resetAttempts(vmId: EntryVmId): void {
    this.attempts.set(vmId, new Map());
  }

  /** Closes the connections of an entry VM that has ended. */
  closeAttempts(vmId: EntryVmId): void {
    this.attempts.get(vmId)?.forEach(({ connection }) => connection.close());
  }

  /** Connects an entry VM to an endpoint; fails if the endpoint is unreachable or dead. */
  startAttempt(entryVm: FakeEntryVm, start: EffectOf<'attempt.start'>): void {
    const { attemptId, endpoint, mode, requestId } = start;
    const { id, failureDomain } = entryVm.identity;
    const target = this.engines.get(endpoint.id) ?? this.services.get(endpoint.id);
    if (target === undefined) throw new Error(`unknown endpoint ${endpoint.id}`);
    this.attemptCount += 1;
    this.eventLog.record(`${id} tries ${requestId} at ${endpoint.id} (${mode})`);
    const connection = new FakeConnection(
      attemptId,
      failureDomain,
      endpoint.failureDomain,
      this.network,
      (event) => entryVm.dispatch(event),
    );
    this.attempts.get(id)?.set(attemptId, { start, connection });
    const isReachable = this.network.isReachable(failureDomain, endpoint.failureDomain);
    setTimeout(
      () => this.connectAttempt(entryVm, start, connection),
      isReachable ? this.network.drawDelayMs() : CONNECT_TIMEOUT_MS,
    );
  }

  private connectAttempt(
    entryVm: FakeEntryVm,
    start: EffectOf<'attempt.start'>,
    connection: FakeConnection,
  ): void {
    if (!connection.isOpen) return;
    const { endpoint, attemptId, requestId } = start;
    const isReachable = this.network.isReachable(
      entryVm.identity.failureDomain,
      endpoint.failureDomain,
    );
    const engine = this.engines.get(endpoint.id);
    const service = this.services.get(endpoint.id);
    const fakeProcess = engine?.process ?? service?.process;
    const contract = this.findContract(requestId);
    const isDelivered =
      isReachable &&
      contract !== undefined &&
      fakeProcess?.run(() => {
        if (service !== undefined) service.call(contract.digest, requestId, connection);
        else if (engine !== undefined)
          FakeEndpoints.startStream(engine, start, contract, connection);
      });
    if (isDelivered !== true)
      entryVm.dispatch({ kind: 'attempt.failed', attemptId, failure: 'notSent' });
  }

  private static startStream(
    engine: FakeEngine,
    start: EffectOf<'attempt.start'>,
    contract: RequestContract,
    connection: FakeConnection,
  ): void {
    if (contract.kind !== 'model') return;
    if (start.mode === 'resume') {
      engine.resume(start.streamId, start.offset, connection);
      return;
    }
    const { digest, promptTokens, maxOutputTokens } = contract;
    engine.start({ streamId: start.streamId, digest, promptTokens, maxOutputTokens }, connection);
  }

  /** Closes the connection of an attempt and, at an engine, releases its stream. */
  cancelAttempt(entryVm: FakeEntryVm, attemptId: string): void {
    const attempt = this.attempts.get(entryVm.identity.id)?.get(attemptId);
    if (attempt === undefined) return;
    this.attempts.get(entryVm.identity.id)?.delete(attemptId);
    attempt.connection.close();
    const { endpoint, streamId } = attempt.start;
    setTimeout(() => {
      if (!this.network.isReachable(entryVm.identity.failureDomain, endpoint.failureDomain)) return;
      const engine = this.engines.get(endpoint.id);
      engine?.process.run(() => engine.release(streamId));
    }, this.network.drawDelayMs());
  }

  callEngine(entryVm: FakeEntryVm, effect: EffectOf<'engine.call'>): void {
    const { callId, call } = effect;
    const engine = this.engines.get(effect.engine.id);
    const locations = [entryVm.identity.failureDomain, effect.engine.failureDomain] as const;
    setTimeout(() => {
      const isDelivered =
        this.network.isReachable(...locations) &&
        engine?.process.run(() => {
          const reply = engine.handleCall(call);
          setTimeout(() => {
            const receivedReply = this.network.isReachable(...locations)
              ? reply
              : Err('unanswered' as const);
            entryVm.dispatch({ kind: 'engine.replied', callId, reply: receivedReply });
          }, this.network.drawDelayMs());
        });
      if (isDelivered !== true) {
        entryVm.dispatch({ kind: 'engine.replied', callId, reply: Err('unsent') });
      }
    }, this.network.drawDelayMs());
  }
}
