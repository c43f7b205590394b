import { Err, Ok, type Engine, type Result } from '@savorywind/model';
import type { EngineCall, EngineCallFailure, EngineReply } from '@savorywind/decisions';
import type { FakeConnection } from './connection.js';
import { FakeMachine } from './machine.js';

interface FakeStream {
  readonly streamId: string;
  readonly digest: string;
  readonly memoryTokens: number;
  readonly maxTokens: number;
  readonly startedAtMs: number;
  generated: number;
  reader: FakeConnection | undefined;
}

export interface StreamStart {
  readonly streamId: string;
  readonly digest: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** How an engine breaks its protocol: it loses tokens of an answer, or sends them twice. */
export type EngineFault = 'none' | 'losesTokens' | 'doublesTokens';

const LOSS_PERIOD = 3;

/** How often a token is sent, by fault and position. */
const countSends: Readonly<Record<EngineFault, (offset: number) => number>> = {
  none: () => 1,
  losesTokens: (offset) => (offset % LOSS_PERIOD === LOSS_PERIOD - 1 ? 0 : 1),
  doublesTokens: () => 2,
};

const MS_PER_S = 1_000;

/** The token that an engine generates at a position; a second run gives the same. */
export const formatToken = (digest: string, index: number): string => `${digest}#${index} `;

type CallHandlers = {
  readonly [Kind in EngineCall['kind']]?: (
    call: Extract<EngineCall, { readonly kind: Kind }>,
  ) => Result<EngineReply, EngineCallFailure>;
};

/** A small engine: memory, streams that go on without a reader, one token after another. */
export class FakeEngine {
  readonly machine = new FakeMachine();

  /** Raised with each new stream, for checks on placement. */
  startedStreams = 0;

  fault: EngineFault = 'none';

  private streams = new Map<string, FakeStream>();

  constructor(
    readonly declaration: Engine,
    private readonly record: (text: string) => void,
  ) {}

  get usedMemoryTokens(): number {
    return [...this.streams.values()].reduce((sum, { memoryTokens }) => sum + memoryTokens, 0);
  }

  start(ask: StreamStart, reader: FakeConnection): void {
    const memoryTokens = ask.promptTokens + ask.maxOutputTokens;
    const fits = this.usedMemoryTokens + memoryTokens <= this.declaration.memoryTokens;
    if (!fits || this.streams.has(ask.streamId)) {
      reader.report({ kind: 'failed', failure: 'rejected' });
      return;
    }
    const stream: FakeStream = {
      streamId: ask.streamId,
      digest: ask.digest,
      memoryTokens,
      maxTokens: ask.maxOutputTokens,
      startedAtMs: performance.now(),
      generated: 0,
      reader: undefined,
    };
    this.streams.set(ask.streamId, stream);
    this.startedStreams += 1;
    this.record(`${this.declaration.id} starts ${ask.streamId}, ${memoryTokens} tokens`);
    this.attach(stream, reader, 0);
    const prefillMs = (ask.promptTokens / this.declaration.prefillTokensPerS) * MS_PER_S;
    this.generateLater(stream, prefillMs);
  }

  resume(streamId: string, offset: number, reader: FakeConnection): void {
    const stream = this.streams.get(streamId);
    if (stream === undefined) reader.report({ kind: 'failed', failure: 'rejected' });
    else this.attach(stream, reader, offset);
  }

  release(streamId: string): void {
    if (!this.streams.delete(streamId)) return;
    this.record(`${this.declaration.id} releases ${streamId}`);
  }

  answer(call: EngineCall): Result<EngineReply, EngineCallFailure> {
    const handlers: CallHandlers = {
      'streams.list': () => Ok({ kind: 'streams', streams: this.listStreams() }),
      'stream.cancel': ({ streamId }) => {
        this.release(streamId);
        return Ok({ kind: 'done' });
      },
      'load.read': () => Ok({ kind: 'load', load: this.describeLoad() }),
    };
    const handler = handlers[call.kind] as
      ((given: EngineCall) => Result<EngineReply, EngineCallFailure>) | undefined;
    return handler === undefined ? Err('refused') : handler(call);
  }

  kill(): void {
    this.machine.kill();
    const lost = [...this.streams.values()];
    this.streams = new Map();
    lost.forEach(({ reader }) => reader?.breakOff());
  }

  private attach(stream: FakeStream, reader: FakeConnection, offset: number): void {
    stream.reader = reader;
    reader.onClosed = () => {
      if (stream.reader === reader) stream.reader = undefined;
    };
    reader.report({ kind: 'headReceived' });
    for (let index = offset; index < stream.generated; index += 1) {
      reader.report({
        kind: 'chunkReceived',
        offset: index,
        data: formatToken(stream.digest, index),
      });
    }
    this.finishWhenRead(stream);
  }

  private generateLater(stream: FakeStream, delayMs: number): void {
    setTimeout(() => this.machine.run(() => this.generate(stream)), delayMs);
  }

  private generate(stream: FakeStream): void {
    if (this.streams.get(stream.streamId) !== stream) return;
    const offset = stream.generated;
    stream.generated += 1;
    this.sendToken(stream, offset);
    if (stream.generated < stream.maxTokens) {
      this.generateLater(stream, MS_PER_S / this.declaration.decodeTokensPerS);
    } else {
      this.finishWhenRead(stream);
    }
  }

  private sendToken({ reader, digest }: FakeStream, offset: number): void {
    const data = formatToken(digest, offset);
    for (let sends = countSends[this.fault](offset); sends > 0; sends -= 1) {
      reader?.report({ kind: 'chunkReceived', offset, data });
    }
  }

  private finishWhenRead(stream: FakeStream): void {
    if (stream.generated < stream.maxTokens || stream.reader?.isOpen !== true) return;
    stream.reader.report({ kind: 'ended', total: stream.generated });
    this.release(stream.streamId);
  }

  private listStreams() {
    return [...this.streams.values()].map((stream) => ({
      streamId: stream.streamId,
      memoryTokens: stream.memoryTokens,
      attached: stream.reader !== undefined,
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
