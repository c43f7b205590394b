import type { ServiceReplica } from '@savorywind/model';
import type { FakeConnection } from './connection.js';
import { FakeMachine } from './machine.js';

/** Runs of a plain service, shared by its replicas as a database would be. */
export type RunLog = Map<string, string[]>;

const RUN_MS = 5;

/** The body of a service's answer to a call. */
export const formatServiceAnswer = (digest: string): string => `done ${digest}`;

/** One replica of a plain service; each call that reaches it runs, whether or not it is answered. */
export class FakeService {
  readonly machine = new FakeMachine();

  private readonly connections = new Set<FakeConnection>();

  constructor(
    readonly declaration: ServiceReplica,
    private readonly runs: RunLog,
    private readonly record: (text: string) => void,
  ) {}

  call(digest: string, requestId: string, connection: FakeConnection): void {
    this.connections.add(connection);
    connection.onClosed = () => this.connections.delete(connection);
    setTimeout(() => this.machine.run(() => this.run(digest, requestId, connection)), RUN_MS);
  }

  kill(): void {
    this.machine.kill();
    [...this.connections].forEach((connection) => connection.breakOff());
    this.connections.clear();
  }

  private run(digest: string, requestId: string, connection: FakeConnection): void {
    this.record(`${this.declaration.id} runs ${digest} for ${requestId}`);
    this.runs.set(digest, [...(this.runs.get(digest) ?? []), requestId]);
    setTimeout(() => this.machine.run(() => this.answer(digest, connection)), RUN_MS);
  }

  private answer(digest: string, connection: FakeConnection): void {
    this.connections.delete(connection);
    connection.report({ kind: 'headReceived', status: 201 });
    const data = formatServiceAnswer(digest);
    const count = data.length;
    connection.report({ kind: 'chunkReceived', offset: 0, data, count });
    connection.report({ kind: 'ended', total: count });
  }
}
