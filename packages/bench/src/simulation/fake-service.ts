import type { ServiceReplica } from '@savorywind/model';
import type { FakeConnection } from './fake-connection.js';
import { FakeProcess } from './fake-process.js';

/**
 * Request ids of the executions of each call, by digest. All replicas of a service share it, as
 * they would share a database.
 */
export type ExecutionLog = Map<string, string[]>;

/** Time from receiving a call to its execution, and again from its execution to the response. */
const EXECUTION_MS = 5;

/** Returns the body of a service's response to a call. */
export const formatServiceResponse = (digest: string): string => `done ${digest}`;

/** Simulated service replica; it executes each call it receives, also if the response is lost. */
export class FakeService {
  readonly process = new FakeProcess();

  private readonly connections = new Set<FakeConnection>();

  constructor(
    readonly declaration: ServiceReplica,
    private readonly executions: ExecutionLog,
    private readonly record: (text: string) => void,
  ) {}

  call(digest: string, requestId: string, connection: FakeConnection): void {
    this.connections.add(connection);
    connection.onClosed = () => this.connections.delete(connection);
    setTimeout(
      () => this.process.run(() => this.execute(digest, requestId, connection)),
      EXECUTION_MS,
    );
  }

  kill(): void {
    this.process.kill();
    [...this.connections].forEach((connection) => connection.fail());
    this.connections.clear();
  }

  private execute(digest: string, requestId: string, connection: FakeConnection): void {
    this.record(`${this.declaration.id} runs ${digest} for ${requestId}`);
    this.executions.set(digest, [...(this.executions.get(digest) ?? []), requestId]);
    setTimeout(() => this.process.run(() => this.sendResponse(digest, connection)), EXECUTION_MS);
  }

  private sendResponse(digest: string, connection: FakeConnection): void {
    this.connections.delete(connection);
    connection.report({ kind: 'headReceived', status: 201 });
    const data = formatServiceResponse(digest);
    const count = data.length;
    connection.report({ kind: 'chunkReceived', offset: 0, data, count });
    connection.report({ kind: 'ended', total: count });
  }
}
