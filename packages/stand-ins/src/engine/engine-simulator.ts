import { LoadHistory } from './load-history.js';
import { PrefixCache } from './prefix-cache.js';
import type {
  CacheEvent,
  EngineSimulatorSettings,
  SimulatedStream,
  ReportedLoad,
  StreamRequest,
} from './types.js';

const MS_PER_S = 1_000;

const TOKENS_PER_MILLION = 1_000_000;

/** Differences below this value, in milliseconds or decode steps, are rounding errors. */
const ROUNDING_TOLERANCE = 1e-6;

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

/** Vocabulary of the generated text. */
const WORDS = ['chair', 'ledger', 'rental', 'entry', 'balance', 'review', 'note', 'total'];

interface Sequence extends SimulatedStream {
  readonly request: StreamRequest;
  readonly order: number;
  /** Index of the first token in the repeated `WORDS`, derived from the seed text. */
  readonly textOffset: number;
  /** Number of tokens to generate. */
  readonly outputTokens: number;
  /** Duration of the remaining prefill on an otherwise idle engine. */
  prefillLeftMs: number;
  /** Value of `completedSteps` at the first token; undefined during prefill. */
  firstStep: number | undefined;
}

/** Progress per millisecond. */
interface Rates {
  /** Milliseconds of prefill work, as on an idle engine. */
  readonly prefill: number;
  /** Decode steps. */
  readonly steps: number;
}

/**
 * Simulates timing and memory of an engine with continuous batching and chunked prefill, on the
 * clock of the runtime. All rates are constant between two changes of the batch, so a timer is
 * needed only for the end of a prefill, the end of a sequence and, with pace `everyToken`, for each
 * decode step.
 *
 * @example
 * const simulator = new EngineSimulator({ memoryTokens: 400_000, prefillTokensPerS: 20_000, decodeTokensPerS: 100 });
 * const stream = simulator.startStream({ streamId: 's1', promptTokens: 1_000, maxOutputTokens: 8, seedText: 'x' });
 */
export class EngineSimulator {
  private readonly settings: Required<EngineSimulatorSettings>;

  private readonly streams = new Map<string, Sequence>();

  private readonly decoding = new Set<Sequence>();

  /** Sequences that wait for prefill or are in it, in processing order. */
  private prefilling: Sequence[] = [];

  private readonly cache: PrefixCache;

  private readonly loadHistory: LoadHistory;

  private usedTokens = 0;

  private contextTokens = 0;

  /** Decode steps since start; fractional within a step. */
  private completedSteps = 0;

  /** Time up to which the simulation is computed. */
  private advancedToMs = 0;

  private nextOrder = 1;

  private timer: NodeJS.Timeout | undefined;

  /** Sequences whose listeners are called once the state is up to date. */
  private readonly changedSequences = new Set<Sequence>();

  private isCallingListeners = false;

  constructor(settings: EngineSimulatorSettings) {
    this.settings = { ...DEFAULTS, ...settings };
    const { prefixBlockTokens, cacheEventDelayMs, cacheEventLoss, loadLagMs } = this.settings;
    this.cache = new PrefixCache({
      blockTokens: prefixBlockTokens,
      eventDelayMs: cacheEventDelayMs,
      eventLoss: cacheEventLoss,
    });
    this.loadHistory = new LoadHistory(loadLagMs);
  }

  get usedMemoryTokens(): number {
    return this.usedTokens;
  }

  /** Blocks of prefixes that were dropped since the start. */
  get evictedBlocks(): number {
    return this.cache.evictedBlocks;
  }

  listStreams(): SimulatedStream[] {
    return [...this.streams.values()];
  }

  findStream(streamId: string): SimulatedStream | undefined {
    return this.streams.get(streamId);
  }

  /** Returns the load as it was `loadLagMs` ago. */
  readLoad(): ReportedLoad {
    return this.loadHistory.read();
  }

  listCacheEvents(afterSequence: number): CacheEvent[] {
    return this.cache.listEvents(afterSequence);
  }

  /** Returns the duration of an export or import of KV cache, in milliseconds. */
  estimateTransferMs(tokens: number): number {
    return (tokens / this.settings.transferTokensPerS) * MS_PER_S;
  }

  /** Returns the prefill duration of the uncached part of a prompt on an idle engine. */
  estimatePrefillMs(promptTokens: number, cachedTokens = 0): number {
    const { prefillTokensPerS, attentionTokens } = this.settings;
    const linear = promptTokens - cachedTokens;
    const attention = (promptTokens ** 2 - cachedTokens ** 2) / (2 * attentionTokens);
    return ((linear + attention) / prefillTokensPerS) * MS_PER_S;
  }

  /** Starts a stream; returns undefined if it does not fit into the free memory. */
  startStream(request: StreamRequest): SimulatedStream | undefined {
    const memoryTokens = request.promptTokens + request.maxOutputTokens;
    if (this.usedTokens + memoryTokens > this.settings.memoryTokens) return undefined;
    this.advance();
    const sequence = this.createSequence(request, memoryTokens);
    this.streams.set(request.streamId, sequence);
    this.usedTokens += memoryTokens;
    this.cache.dropBeyond(this.settings.memoryTokens - this.usedTokens);
    this.queuePrefill(sequence);
    this.schedule();
    this.callListeners();
    return sequence;
  }

  /** Ends a stream and frees its memory; returns false if the stream is unknown. */
  releaseStream(streamId: string): boolean {
    const sequence = this.streams.get(streamId);
    if (sequence === undefined) return false;
    this.advance();
    this.streams.delete(streamId);
    this.usedTokens -= sequence.memoryTokens;
    this.prefilling = this.prefilling.filter((other) => other !== sequence);
    this.stopDecoding(sequence);
    this.schedule();
    this.callListeners();
    return true;
  }

  /** Removes all streams and clears the prefix cache, as a crash of the engine does. */
  reset(): void {
    [...this.streams.keys()].forEach((streamId) => this.releaseStream(streamId));
    this.cache.dropBeyond(0);
  }

  private createSequence(request: StreamRequest, memoryTokens: number): Sequence {
    const { promptTokens, maxOutputTokens, streamId, priority = 0, importedTokens = 0 } = request;
    const foundTokens = this.cache.findCachedTokens(request.prefixDigests ?? []);
    // The first output token is computed from the last prompt token, which is never skipped.
    const cachedTokens = Math.min(Math.max(foundTokens, importedTokens), promptTokens - 1);
    const order = this.nextOrder;
    this.nextOrder += 1;
    return {
      request,
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
      textOffset: [...request.seedText].reduce((sum, letter) => sum + letter.charCodeAt(0), 0),
      prefillLeftMs:
        this.estimatePrefillMs(promptTokens, cachedTokens) +
        this.estimateTransferMs(importedTokens),
      outputTokens: Math.min(maxOutputTokens, request.stopAfterTokens ?? maxOutputTokens),
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

  /** Returns the rates of prefill and decode for the current batch. */
  private estimateRates(): Rates {
    const { decodeTokensPerS, prefillChunkTokens, prefillTokensPerS } = this.settings;
    const hasPrefill = this.findPrefillHead() !== undefined;
    if (this.decoding.size === 0) return { prefill: hasPrefill ? 1 : 0, steps: 0 };
    const chunkMs = hasPrefill ? (prefillChunkTokens / prefillTokensPerS) * MS_PER_S : 0;
    // A prefill chunk is computed while the weights are loaded, so the longer of the two counts.
    const stepMs = Math.max(MS_PER_S / decodeTokensPerS, chunkMs) + this.estimateBatchOverheadMs();
    return { prefill: chunkMs / stepMs, steps: 1 / stepMs };
  }

  /** Returns the time that batch size and context length add to a decode step, in milliseconds. */
  private estimateBatchOverheadMs(): number {
    const { stepPerSequenceMs, stepPerMillionTokensMs } = this.settings;
    const context = this.contextTokens / TOKENS_PER_MILLION;
    return (this.decoding.size - 1) * stepPerSequenceMs + context * stepPerMillionTokensMs;
  }

  /** Returns the time until the next change of the batch at the given rates, in milliseconds. */
  private estimateNextChangeMs(rates: Rates): number {
    const head = this.findPrefillHead();
    let nextMs = head === undefined ? Infinity : Math.max(0, head.prefillLeftMs) / rates.prefill;
    for (const sequence of this.decoding) {
      const lastStep = (sequence.firstStep ?? 0) + sequence.outputTokens - 1;
      nextMs = Math.min(nextMs, (lastStep - this.completedSteps) / rates.steps);
    }
    return Math.max(0, nextMs);
  }

  /** Advances the simulation to the current time, in intervals without a change of the batch. */
  private advance(): void {
    let remainingMs = performance.now() - this.advancedToMs;
    this.advancedToMs = performance.now();
    while (remainingMs > -ROUNDING_TOLERANCE && this.streams.size > 0) {
      const rates = this.estimateRates();
      const changeMs = this.estimateNextChangeMs(rates);
      const elapsedMs = Math.min(changeMs, remainingMs);
      const head = this.findPrefillHead();
      if (head !== undefined) head.prefillLeftMs -= elapsedMs * rates.prefill;
      this.completedSteps += elapsedMs * rates.steps;
      remainingMs -= elapsedMs;
      if (changeMs > elapsedMs + ROUNDING_TOLERANCE) return;
      this.finishDueSequences(head);
    }
  }

  private finishDueSequences(head: Sequence | undefined): void {
    if (head !== undefined && head.prefillLeftMs <= ROUNDING_TOLERANCE) this.startDecoding(head);
    for (const sequence of this.decoding) {
      const lastStep = (sequence.firstStep ?? 0) + sequence.outputTokens - 1;
      if (this.completedSteps >= lastStep - ROUNDING_TOLERANCE) {
        this.addTokens(sequence);
        sequence.finished = true;
        this.stopDecoding(sequence);
        this.changedSequences.add(sequence);
      }
    }
  }

  private startDecoding(sequence: Sequence): void {
    this.prefilling.shift();
    // A sequence joins the batch at the next step boundary.
    sequence.firstStep = Math.ceil(this.completedSteps - ROUNDING_TOLERANCE);
    if (this.decoding.size === 0) this.completedSteps = sequence.firstStep;
    this.decoding.add(sequence);
    this.contextTokens += sequence.memoryTokens;
    const digests = sequence.request.prefixDigests ?? [];
    this.cache.add(digests, this.settings.memoryTokens - this.usedTokens);
    this.addTokens(sequence);
    this.changedSequences.add(sequence);
  }

  private stopDecoding(sequence: Sequence): void {
    if (this.decoding.delete(sequence)) this.contextTokens -= sequence.memoryTokens;
  }

  /** Adds the tokens generated since the last call; returns whether there are any. */
  private addTokens(sequence: Sequence): boolean {
    if (sequence.firstStep === undefined) return false;
    const steps = Math.floor(this.completedSteps - sequence.firstStep + ROUNDING_TOLERANCE);
    const count = Math.min(sequence.outputTokens, Math.max(0, steps) + 1);
    const previousCount = sequence.tokens.length;
    while (sequence.tokens.length < count) {
      const index = sequence.textOffset + sequence.tokens.length;
      sequence.tokens.push(`${WORDS[index % WORDS.length] ?? 'word'} `);
    }
    return count > previousCount;
  }

  private handleTimer(): void {
    this.advance();
    if (this.settings.pace === 'everyToken') {
      this.decoding.forEach((sequence) => {
        if (this.addTokens(sequence)) this.changedSequences.add(sequence);
      });
    }
    this.schedule();
    this.callListeners();
  }

  /**
   * Calls the listeners of changed sequences. Listeners may start and release streams; a nested
   * call returns at once, and the outer loop calls the listeners of sequences changed meanwhile.
   */
  private callListeners(): void {
    if (this.isCallingListeners) return;
    this.isCallingListeners = true;
    for (const sequence of this.changedSequences) {
      this.changedSequences.delete(sequence);
      sequence.listener?.();
    }
    this.isCallingListeners = false;
  }

  /** Records the current load and sets the timer for the next change. */
  private schedule(): void {
    clearTimeout(this.timer);
    this.loadHistory.record(this.readCurrentLoad());
    const rates = this.estimateRates();
    let delayMs = this.estimateNextChangeMs(rates);
    if (this.settings.pace === 'everyToken' && rates.steps > 0) {
      const nextStep = Math.floor(this.completedSteps + ROUNDING_TOLERANCE) + 1;
      delayMs = Math.min(delayMs, (nextStep - this.completedSteps) / rates.steps);
    }
    if (delayMs === Infinity) return;
    this.timer = setTimeout(() => this.handleTimer(), Math.ceil(delayMs - ROUNDING_TOLERANCE));
  }

  private readCurrentLoad(): ReportedLoad {
    return {
      usedMemoryTokens: this.usedTokens,
      runningStreams: this.streams.size,
      queuedPromptTokens: this.prefilling.reduce((sum, { promptTokens }) => sum + promptTokens, 0),
    };
  }
}
