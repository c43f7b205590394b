/** A stream of the stand-in engine: one prompt, and the tokens generated for it so far. */
export interface ModelStream {
  readonly streamId: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly memoryTokens: number;
  readonly startedAtMs: number;
  readonly tokens: string[];
  finished: boolean;
  /** Called when a token is added or the stream ends. */
  listener: (() => void) | undefined;
  timer: NodeJS.Timeout | undefined;
}

export interface EngineModelSettings {
  readonly memoryTokens: number;
  readonly prefillTokensPerS: number;
  readonly decodeTokensPerS: number;
}

export interface StreamAsk {
  readonly streamId: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Text that the generated tokens are derived from, so that a second run gives the same answer. */
  readonly seedText: string;
}

const MS_PER_S = 1_000;

const WORDS = ['chair', 'ledger', 'rental', 'entry', 'balance', 'review', 'note', 'total'];

const pickWord = (seedText: string, index: number): string => {
  const sum = [...seedText].reduce((total, letter) => total + letter.charCodeAt(0), index);
  return WORDS[sum % WORDS.length] ?? 'word';
};

/** Memory and timing of an engine, on the clock of the runtime. */
export class EngineModel {
  private readonly streams = new Map<string, ModelStream>();

  constructor(private readonly settings: EngineModelSettings) {}

  get usedMemoryTokens(): number {
    return [...this.streams.values()].reduce((sum, { memoryTokens }) => sum + memoryTokens, 0);
  }

  listStreams(): ModelStream[] {
    return [...this.streams.values()];
  }

  findStream(streamId: string): ModelStream | undefined {
    return this.streams.get(streamId);
  }

  /** Starts a stream, or gives undefined where it does not fit the memory that is left. */
  startStream(ask: StreamAsk): ModelStream | undefined {
    const memoryTokens = ask.promptTokens + ask.maxOutputTokens;
    if (this.usedMemoryTokens + memoryTokens > this.settings.memoryTokens) return undefined;
    const stream: ModelStream = {
      streamId: ask.streamId,
      promptTokens: ask.promptTokens,
      maxOutputTokens: ask.maxOutputTokens,
      memoryTokens,
      startedAtMs: performance.now(),
      tokens: [],
      finished: false,
      listener: undefined,
      timer: undefined,
    };
    this.streams.set(ask.streamId, stream);
    const prefillMs = (ask.promptTokens / this.settings.prefillTokensPerS) * MS_PER_S;
    stream.timer = setTimeout(() => this.generateToken(stream, ask.seedText), prefillMs);
    return stream;
  }

  /** Ends a stream and gives its memory back; false where there is none. */
  releaseStream(streamId: string): boolean {
    const stream = this.streams.get(streamId);
    clearTimeout(stream?.timer);
    return this.streams.delete(streamId);
  }

  private generateToken(stream: ModelStream, seedText: string): void {
    stream.tokens.push(`${pickWord(seedText, stream.tokens.length)} `);
    stream.finished = stream.tokens.length >= stream.maxOutputTokens;
    stream.listener?.();
    if (stream.finished) return;
    const stepMs = MS_PER_S / this.settings.decodeTokensPerS;
    stream.timer = setTimeout(() => this.generateToken(stream, seedText), stepMs);
  }
}
