import { Err, Ok, type Engine, type Result } from '@savorywind/model';
import type { EngineCall, EngineCallFailure, EngineReply } from '@savorywind/decisions';
import type { FakeConnection } from './fake-connection.js';
import { FakeProcess } from './fake-process.js';

interface FakeStream {
  readonly streamId: string;
  readonly digest: string;
  readonly memoryTokens: number;
  readonly maxTokens: number;
  readonly startedAtMs: number;
  generatedTokens: number;
  connection: FakeConnection | undefined;
}

/** Parameters of a new stream of a `FakeEngine`. */
export interface StreamParameters {
  readonly streamId: string;
  readonly digest: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** Protocol fault of an engine: it omits tokens of a response or sends each token twice. */
export type EngineFault = 'none' | 'losesTokens' | 'doublesTokens';

/** With the fault `losesTokens`, one token out of this number is not sent. */
const LOSS_INTERVAL = 3;

/** Number of times that the token at an offset is sent, by fault. */
const copiesPerToken: Readonly<Record<EngineFault, (offset: number) => number>> = {
  none: () => 1,
  losesTokens: (offset) => (offset % LOSS_INTERVAL === LOSS_INTERVAL - 1 ? 0 : 1),
  doublesTokens: () => 2,
};

const MS_PER_S = 1_000;

/** Returns the token at a position of a response; equal digests give equal tokens. */
export const formatToken = (digest: string, offset: number): string => `${digest}#${offset} `;

type CallHandlers = {
  readonly [Kind in EngineCall['kind']]?: (
    call: Extract<EngineCall, { readonly kind: Kind }>,
  ) => Result<EngineReply, EngineCallFailure>;
};

/**
 * Simulated engine with limited memory. A stream generates one token after another, also without a
 * connection, and is released once it is complete and all tokens were sent on an open connection.
 */
export class FakeEngine {
  readonly process = new FakeProcess();

  /** Number of streams started, for checks on placement. */
  startedStreamCount = 0;

  fault: EngineFault = 'none';

  private streams = new Map<string, FakeStream>();

  constructor(
    readonly declaration: Engine,
    private readonly record: (text: string) => void,
  ) {}

  get usedMemoryTokens(): number {
    return [...this.streams.values()].reduce((sum, { memoryTokens }) => sum + memoryTokens, 0);
  }

  start(parameters: StreamParameters, connection: FakeConnection): void {
    const memoryTokens = parameters.promptTokens + parameters.maxOutputTokens;
    const hasSpace = this.usedMemoryTokens + memoryTokens <= this.declaration.memoryTokens;
    if (!hasSpace || this.streams.has(parameters.streamId)) {
      connection.report({ kind: 'failed', failure: 'rejected' });
      return;
    }
    const stream: FakeStream = {
      streamId: parameters.streamId,
      digest: parameters.digest,
      memoryTokens,
      maxTokens: parameters.maxOutputTokens,
      startedAtMs: performance.now(),
      generatedTokens: 0,
      connection: undefined,
    };
    this.streams.set(parameters.streamId, stream);
    this.startedStreamCount += 1;
    this.record(`${this.declaration.id} starts ${parameters.streamId}, ${memoryTokens} tokens`);
    this.attach(stream, connection, 0);
    const prefillMs = (parameters.promptTokens / this.declaration.prefillTokensPerS) * MS_PER_S;
    this.scheduleToken(stream, prefillMs);
  }

  resume(streamId: string, offset: number, connection: FakeConnection): void {
    const stream = this.streams.get(streamId);
    if (stream === undefined) connection.report({ kind: 'failed', failure: 'rejected' });
    else this.attach(stream, connection, offset);
  }

  release(streamId: string): void {
    if (!this.streams.delete(streamId)) return;
    this.record(`${this.declaration.id} releases ${streamId}`);
  }

  handleCall(call: EngineCall): Result<EngineReply, EngineCallFailure> {
    const handlers: CallHandlers = {
      'streams.list': () => Ok({ kind: 'streams', streams: this.listStreams() }),
      'stream.cancel': ({ streamId }) => {
        this.release(streamId);
        return Ok({ kind: 'done' });
      },
      'load.read': () => Ok({ kind: 'load', load: this.describeLoad() }),
    };
    const handler = handlers[call.kind] as
      ((call: EngineCall) => Result<EngineReply, EngineCallFailure>) | undefined;
    return handler === undefined ? Err('refused') : handler(call);
  }

  kill(): void {
    this.process.kill();
    const lostStreams = [...this.streams.values()];
    this.streams = new Map();
    lostStreams.forEach(({ connection }) => connection?.fail());
  }

  private attach(stream: FakeStream, connection: FakeConnection, offset: number): void {
    stream.connection = connection;
    connection.onClosed = () => {
      if (stream.connection === connection) stream.connection = undefined;
    };
    connection.report({ kind: 'headReceived' });
    for (let index = offset; index < stream.generatedTokens; index += 1) {
      connection.report({
        kind: 'chunkReceived',
        offset: index,
        data: formatToken(stream.digest, index),
      });
    }
    this.finishIfComplete(stream);
  }

  private scheduleToken(stream: FakeStream, delayMs: number): void {
    setTimeout(() => this.process.run(() => this.generate(stream)), delayMs);
  }

  private generate(stream: FakeStream): void {
    if (this.streams.get(stream.streamId) !== stream) return;
    const offset = stream.generatedTokens;
    stream.generatedTokens += 1;
    this.sendToken(stream, offset);
    if (stream.generatedTokens < stream.maxTokens) {
      this.scheduleToken(stream, MS_PER_S / this.declaration.decodeTokensPerS);
    } else {
      this.finishIfComplete(stream);
    }
  }

  private sendToken({ connection, digest }: FakeStream, offset: number): void {
    const data = formatToken(digest, offset);
    for (let copies = copiesPerToken[this.fault](offset); copies > 0; copies -= 1) {
      connection?.report({ kind: 'chunkReceived', offset, data });
    }
  }

  private finishIfComplete(stream: FakeStream): void {
    if (stream.generatedTokens < stream.maxTokens || stream.connection?.isOpen !== true) return;
    stream.connection.report({ kind: 'ended', total: stream.generatedTokens });
    this.release(stream.streamId);
  }

  private listStreams() {
    return [...this.streams.values()].map((stream) => ({
      streamId: stream.streamId,
      memoryTokens: stream.memoryTokens,
      attached: stream.connection !== undefined,
      ageMs: performance.now() - stream.startedAtMs,
    }));
  }

  private describeLoad() {
    return {
      usedMemoryTokens: this.usedMemoryTokens,
      runningStreams: this.streams.size,
      queuedPromptTokens: 0,
    };
  }
}
