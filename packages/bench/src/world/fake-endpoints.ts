import {
  Err,
  type Endpoint,
  type EntryVmId,
  type RequestContract,
  type RequestId,
} from '@savorywind/model';
import { FakeConnection } from './connection.js';
import { FakeEngine } from './fake-engine.js';
import type { EffectOf, FakeEntryVm } from './fake-entry-vm.js';
import { FakeService, type RunLog } from './fake-service.js';
import type { FakeNetwork } from './network.js';
import type { Transcript } from './transcript.js';

interface RunningAttempt {
  readonly start: EffectOf<'attempt.start'>;
  readonly connection: FakeConnection;
}

/** How long a network that refuses a connection outright takes; a cut one stays silent longer. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Engines and services of a world, and the attempts of entry VMs at them. */
export class FakeEndpoints {
  /** Requests that entry VMs have sent to endpoints, resumptions included. */
  attemptsStarted = 0;

  readonly engines = new Map<string, FakeEngine>();

  readonly services = new Map<string, FakeService>();

  private readonly attempts = new Map<EntryVmId, Map<string, RunningAttempt>>();

  constructor(
    private readonly network: FakeNetwork,
    private readonly transcript: Transcript,
    private readonly runs: RunLog,
    private readonly findContract: (requestId: RequestId) => RequestContract | undefined,
  ) {}

  add(endpoint: Endpoint): void {
    const record = (text: string): void => this.transcript.record(text);
    if (endpoint.kind === 'engine') {
      this.engines.set(endpoint.id, new FakeEngine(endpoint, record));
    } else {
      this.services.set(endpoint.id, new FakeService(endpoint, this.runs, record));
    }
  }

  /** A new incarnation of an entry VM has no attempt under way. */
  resetAttempts(vmId: EntryVmId): void {
    this.attempts.set(vmId, new Map());
  }

  /** The connections of an entry VM that has ended. */
  closeAttempts(vmId: EntryVmId): void {
    this.attempts.get(vmId)?.forEach(({ connection }) => connection.close());
  }

  /** Connects an entry VM to an endpoint; a cut or dead one fails the attempt. */
  startAttempt(own: FakeEntryVm, start: EffectOf<'attempt.start'>): void {
    const { attemptId, endpoint, mode, requestId } = start;
    const { id, failureDomain } = own.vm;
    const target = this.engines.get(endpoint.id) ?? this.services.get(endpoint.id);
    if (target === undefined) throw new Error(`no endpoint ${endpoint.id}`);
    this.attemptsStarted += 1;
    this.transcript.record(`${id} tries ${requestId} at ${endpoint.id} (${mode})`);
    const connection = new FakeConnection(
      attemptId,
      failureDomain,
      endpoint.failureDomain,
      this.network,
      (event) => own.dispatch(event),
    );
    this.attempts.get(id)?.set(attemptId, { start, connection });
    const reachable = this.network.isReachable(failureDomain, endpoint.failureDomain);
    setTimeout(
      () => this.deliverAttempt(own, start, connection),
      reachable ? this.network.drawDelayMs() : CONNECT_TIMEOUT_MS,
    );
  }

  private deliverAttempt(
    own: FakeEntryVm,
    start: EffectOf<'attempt.start'>,
    connection: FakeConnection,
  ): void {
    if (!connection.isOpen) return;
    const { endpoint, attemptId, requestId } = start;
    const reachable = this.network.isReachable(own.vm.failureDomain, endpoint.failureDomain);
    const engine = this.engines.get(endpoint.id);
    const service = this.services.get(endpoint.id);
    const machine = engine?.machine ?? service?.machine;
    const contract = this.findContract(requestId);
    const taken =
      reachable &&
      contract !== undefined &&
      machine?.run(() => {
        if (service !== undefined) service.call(contract.digest, requestId, connection);
        else if (engine !== undefined)
          FakeEndpoints.startStream(engine, start, contract, connection);
      });
    if (taken !== true) own.dispatch({ kind: 'attempt.failed', attemptId, failure: 'notSent' });
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

  /** Closes the connection, and tells an engine to give the stream's memory back. */
  cancelAttempt(own: FakeEntryVm, attemptId: string): void {
    const attempt = this.attempts.get(own.vm.id)?.get(attemptId);
    if (attempt === undefined) return;
    this.attempts.get(own.vm.id)?.delete(attemptId);
    attempt.connection.close();
    const { endpoint, streamId } = attempt.start;
    setTimeout(() => {
      if (!this.network.isReachable(own.vm.failureDomain, endpoint.failureDomain)) return;
      const engine = this.engines.get(endpoint.id);
      engine?.machine.run(() => engine.release(streamId));
    }, this.network.drawDelayMs());
  }

  callEngine(own: FakeEntryVm, effect: EffectOf<'engine.call'>): void {
    const { callId, call } = effect;
    const engine = this.engines.get(effect.engine.id);
    const places = [own.vm.failureDomain, effect.engine.failureDomain] as const;
    setTimeout(() => {
      const taken =
        this.network.isReachable(...places) &&
        engine?.machine.run(() => {
          const reply = engine.answer(call);
          setTimeout(() => {
            const heard = this.network.isReachable(...places) ? reply : Err('unanswered' as const);
            own.dispatch({ kind: 'engine.replied', callId, reply: heard });
          }, this.network.drawDelayMs());
        });
      if (taken !== true) {
        own.dispatch({ kind: 'engine.replied', callId, reply: Err('unsent') });
      }
    }, this.network.drawDelayMs());
  }
}
