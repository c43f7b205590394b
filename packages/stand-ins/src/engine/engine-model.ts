import { LoadReport } from './load-report.js';
import { PrefixCache } from './prefix-cache.js';
import type {
  CacheEvent,
  EngineModelSettings,
  ModelStream,
  ReportedLoad,
  StreamAsk,
} from './types.js';

const MS_PER_S = 1_000;

const TOKENS_PER_MILLION = 1_000_000;

/** Differences below this are rounding errors, in milliseconds and tokens. */
const TOLERANCE = 1e-6;

const DEFAULTS = {
  stepPerSequenceMs: 0.1,
  stepPerMillionTokensMs: 4,
  prefillChunkTokens: 512,
  attentionTokens: 400_000,
  batchLimit: 256,
  priorities: 'honoured',
  prefixBlockTokens: 0,
  loadLagMs: 0,
  cacheEventDelayMs: 0,
  cacheEventLoss: 0,
  transferTokensPerS: 500_000,
  pace: 'everyToken',
} as const;

const WORDS = ['chair', 'ledger', 'rental', 'entry', 'balance', 'review', 'note', 'total'];

interface Sequence extends ModelStream {
  readonly ask: StreamAsk;
  readonly order: number;
  readonly textOffset: number;
  readonly outputTokens: number;
  /** Time that reading the rest of the prompt takes on an otherwise idle engine. */
  prefillLeftMs: number;
  /** Value of the step counter at which the first token was there; undefined during prefill. */
  firstStep: number | undefined;
}

/** Progress per millisecond. */
interface Rates {
  /** Milliseconds of prefill work. */
  readonly prefill: number;
  /** Decode steps. */
  readonly steps: number;
}

/**
 * Timing and memory of an engine with continuous batching and chunked prefill, on the clock of the
 * runtime. Between two changes of its batch all rates are constant, so that the model wakes only
 * when a prompt has been read, a sequence ends, or somebody reads each token.
 *
 * @example
 * const model = new EngineModel({ memoryTokens: 400_000, prefillTokensPerS: 20_000, decodeTokensPerS: 100 });
 * const stream = model.startStream({ streamId: 's1', promptTokens: 1_000, maxOutputTokens: 8, seedText: 'x' });
 */
export class EngineModel {
  private readonly settings: Required<EngineModelSettings>;

  private readonly streams = new Map<string, Sequence>();

  private readonly decoding = new Set<Sequence>();

  /** Sequences whose prompt is not read, the next one first. */
  private prefilling: Sequence[] = [];

  private readonly cache: PrefixCache;

  private readonly report: LoadReport;

  private usedTokens = 0;

  private contextTokens = 0;

  private stepCount = 0;

  private advancedToMs = 0;

  private nextOrder = 1;

  private timer: NodeJS.Timeout | undefined;

  /** Streams whose listeners are called once the model is up to date. */
  private readonly changed = new Set<Sequence>();

  private reporting = false;

  constructor(settings: EngineModelSettings) {
    this.settings = { ...DEFAULTS, ...settings };
    const { prefixBlockTokens, cacheEventDelayMs, cacheEventLoss, loadLagMs } = this.settings;
    this.cache = new PrefixCache({
      blockTokens: prefixBlockTokens,
      eventDelayMs: cacheEventDelayMs,
      eventLoss: cacheEventLoss,
    });
    this.report = new LoadReport(loadLagMs);
  }

  get usedMemoryTokens(): number {
    return this.usedTokens;
  }

  listStreams(): ModelStream[] {
    return [...this.streams.values()];
  }

  findStream(streamId: string): ModelStream | undefined {
    return this.streams.get(streamId);
  }

  /** The load as it was `loadLagMs` ago. */
  readLoad(): ReportedLoad {
    return this.report.read();
  }

  listCacheEvents(afterSequence: number): CacheEvent[] {
    return this.cache.listEvents(afterSequence);
  }

  /** Time that the export or import of KV cache takes, in milliseconds. */
  measureTransferMs(tokens: number): number {
    return (tokens / this.settings.transferTokensPerS) * MS_PER_S;
  }

  /** Time that an idle engine needs to read a prompt beyond what it has already. */
  measurePrefillMs(promptTokens: number, cachedTokens = 0): number {
    const { prefillTokensPerS, attentionTokens } = this.settings;
    const linear = promptTokens - cachedTokens;
    const attention = (promptTokens ** 2 - cachedTokens ** 2) / (2 * attentionTokens);
    return ((linear + attention) / prefillTokensPerS) * MS_PER_S;
  }

  /** Starts a stream, or gives undefined where it does not fit the memory that is left. */
  startStream(ask: StreamAsk): ModelStream | undefined {
    const memoryTokens = ask.promptTokens + ask.maxOutputTokens;
    if (this.usedTokens + memoryTokens > this.settings.memoryTokens) return undefined;
    this.advance();
    const sequence = this.createSequence(ask, memoryTokens);
    this.streams.set(ask.streamId, sequence);
    this.usedTokens += memoryTokens;
    this.cache.dropBeyond(this.settings.memoryTokens - this.usedTokens);
    this.queuePrefill(sequence);
    this.schedule();
    this.reportChanged();
    return sequence;
  }

  /** Ends a stream and gives its memory back; false where there is none. */
  releaseStream(streamId: string): boolean {
    const sequence = this.streams.get(streamId);
    if (sequence === undefined) return false;
    this.advance();
    this.streams.delete(streamId);
    this.usedTokens -= sequence.memoryTokens;
    this.prefilling = this.prefilling.filter((other) => other !== sequence);
    this.stopDecoding(sequence);
    this.schedule();
    this.reportChanged();
    return true;
  }

  /** Drops all streams and the prefix cache, as a crash does. */
  reset(): void {
    [...this.streams.keys()].forEach((streamId) => this.releaseStream(streamId));
    this.cache.dropBeyond(0);
  }

  private createSequence(ask: StreamAsk, memoryTokens: number): Sequence {
    const { promptTokens, maxOutputTokens, streamId, priority = 0, importedTokens = 0 } = ask;
    const found = this.cache.findCachedTokens(ask.prefixDigests ?? []);
    // The last prompt token is always read, since the first generated one comes from it.
    const cachedTokens = Math.min(Math.max(found, importedTokens), promptTokens - 1);
    const order = this.nextOrder;
    this.nextOrder += 1;
    return {
      ask,
      streamId,
      promptTokens,
      maxOutputTokens,
      memoryTokens,
      cachedTokens,
      priority: this.settings.priorities === 'honoured' ? priority : 0,
      startedAtMs: performance.now(),
      tokens: [],
      finished: false,
      listener: undefined,
      order,
      textOffset: [...ask.seedText].reduce((sum, letter) => sum + letter.charCodeAt(0), 0),
      prefillLeftMs:
        this.measurePrefillMs(promptTokens, cachedTokens) + this.measureTransferMs(importedTokens),
      outputTokens: Math.min(maxOutputTokens, ask.stopAfterTokens ?? maxOutputTokens),
      firstStep: undefined,
    };
  }

  private queuePrefill(sequence: Sequence): void {
    const index = this.prefilling.findIndex(({ priority }) => priority < sequence.priority);
    if (index === -1) this.prefilling.push(sequence);
    else this.prefilling.splice(index, 0, sequence);
  }

  private findPrefillHead(): Sequence | undefined {
    return this.decoding.size < this.settings.batchLimit ? this.prefilling[0] : undefined;
  }

  /** Prefill done per millisecond, and decode steps per millisecond, for the present batch. */
  private measureRates(): Rates {
    const { decodeTokensPerS, prefillChunkTokens, prefillTokensPerS } = this.settings;
    const prefills = this.findPrefillHead() !== undefined;
    if (this.decoding.size === 0) return { prefill: prefills ? 1 : 0, steps: 0 };
    const chunkMs = prefills ? (prefillChunkTokens / prefillTokensPerS) * MS_PER_S : 0;
    // A chunk is computed while the weights are read, so that the longer of the two counts.
    const stepMs = Math.max(MS_PER_S / decodeTokensPerS, chunkMs) + this.measureBatchMs();
    return { prefill: chunkMs / stepMs, steps: 1 / stepMs };
  }

  /** What the batch adds to a decode step. */
  private measureBatchMs(): number {
    const { stepPerSequenceMs, stepPerMillionTokensMs } = this.settings;
    const context = this.contextTokens / TOKENS_PER_MILLION;
    return (this.decoding.size - 1) * stepPerSequenceMs + context * stepPerMillionTokensMs;
  }

  /** Time until the next change of the batch at the present rates, in milliseconds. */
  private measureNextChangeMs(rates: Rates): number {
    const head = this.findPrefillHead();
    let nextMs = head === undefined ? Infinity : Math.max(0, head.prefillLeftMs) / rates.prefill;
    for (const sequence of this.decoding) {
      const lastStep = (sequence.firstStep ?? 0) + sequence.outputTokens - 1;
      nextMs = Math.min(nextMs, (lastStep - this.stepCount) / rates.steps);
    }
    return Math.max(0, nextMs);
  }

  /** Brings the model from where it stands to the present time, one change of the batch at a time. */
  private advance(): void {
    let leftMs = performance.now() - this.advancedToMs;
    this.advancedToMs = performance.now();
    while (leftMs > -TOLERANCE && this.streams.size > 0) {
      const rates = this.measureRates();
      const changeMs = this.measureNextChangeMs(rates);
      const takenMs = Math.min(changeMs, leftMs);
      const head = this.findPrefillHead();
      if (head !== undefined) head.prefillLeftMs -= takenMs * rates.prefill;
      this.stepCount += takenMs * rates.steps;
      leftMs -= takenMs;
      if (changeMs > takenMs + TOLERANCE) return;
      this.finishDue(head);
    }
  }

  private finishDue(head: Sequence | undefined): void {
    if (head !== undefined && head.prefillLeftMs <= TOLERANCE) this.startDecoding(head);
    for (const sequence of this.decoding) {
      const lastStep = (sequence.firstStep ?? 0) + sequence.outputTokens - 1;
      if (this.stepCount >= lastStep - TOLERANCE) {
        this.addTokens(sequence);
        sequence.finished = true;
        this.stopDecoding(sequence);
        this.changed.add(sequence);
      }
    }
  }

  private startDecoding(sequence: Sequence): void {
    this.prefilling.shift();
    // A sequence joins the batch at the next whole step.
    sequence.firstStep = Math.ceil(this.stepCount - TOLERANCE);
    if (this.decoding.size === 0) this.stepCount = sequence.firstStep;
    this.decoding.add(sequence);
    this.contextTokens += sequence.memoryTokens;
    const digests = sequence.ask.prefixDigests ?? [];
    this.cache.add(digests, this.settings.memoryTokens - this.usedTokens);
    this.addTokens(sequence);
    this.changed.add(sequence);
  }

  private stopDecoding(sequence: Sequence): void {
    if (this.decoding.delete(sequence)) this.contextTokens -= sequence.memoryTokens;
  }

  private addTokens(sequence: Sequence): boolean {
    if (sequence.firstStep === undefined) return false;
    const steps = Math.floor(this.stepCount - sequence.firstStep + TOLERANCE);
    const count = Math.min(sequence.outputTokens, Math.max(0, steps) + 1);
    const before = sequence.tokens.length;
    while (sequence.tokens.length < count) {
      const index = sequence.textOffset + sequence.tokens.length;
      sequence.tokens.push(`${WORDS[index % WORDS.length] ?? 'word'} `);
    }
    return count > before;
  }

  private wake(): void {
    this.advance();
    if (this.settings.pace === 'everyToken') {
      this.decoding.forEach((sequence) => {
        if (this.addTokens(sequence)) this.changed.add(sequence);
      });
    }
    this.schedule();
    this.reportChanged();
  }

  /** Listeners may start and release streams; what that changes is told after them, once. */
  private reportChanged(): void {
    if (this.reporting) return;
    this.reporting = true;
    for (const sequence of this.changed) {
      this.changed.delete(sequence);
      sequence.listener?.();
    }
    this.reporting = false;
  }

  private schedule(): void {
    clearTimeout(this.timer);
    this.report.record(this.readPresentLoad());
    const rates = this.measureRates();
    let delayMs = this.measureNextChangeMs(rates);
    if (this.settings.pace === 'everyToken' && rates.steps > 0) {
      const nextStep = Math.floor(this.stepCount + TOLERANCE) + 1;
      delayMs = Math.min(delayMs, (nextStep - this.stepCount) / rates.steps);
    }
    if (delayMs === Infinity) return;
    this.timer = setTimeout(() => this.wake(), Math.ceil(delayMs - TOLERANCE));
  }

  private readPresentLoad(): ReportedLoad {
    return {
      usedMemoryTokens: this.usedTokens,
      runningStreams: this.streams.size,
      queuedPromptTokens: this.prefilling.reduce((sum, { promptTokens }) => sum + promptTokens, 0),
    };
  }
}
