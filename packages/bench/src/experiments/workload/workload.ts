import { EngineModel } from '@savorywind/stand-ins';
import type { ModelContract, RequestContract } from '@savorywind/model';
import { RandomSource } from './random-source.js';
import type { Burst, Deployment, PlannedRequest, WorkloadSettings } from './types.js';

const MS_PER_S = 1_000;

const SHORTEST_PROMPT = 1_000;

/** Prompts above are long: one in fifty. */
export const LONG_PROMPT_TOKENS = 100_000;

const LONGEST_PROMPT = 1_000_000;

const LONG_SHARE = 1 / 50;

const LENGTH_SHAPE = 1.2;

/** Share of requests that are calls of the plain service, and of these that are not idempotent. */
const SERVICE_SHARE = 0.05;
const NON_IDEMPOTENT_SHARE = 0.3;

const REPEATED_PREFIX_SHARE = 0.5;

/** Blocks of a repeated prefix at the most. */
const MAX_PREFIX_BLOCKS = 8;

const OUTPUT_TOKENS = { min: 40, max: 2_000, shape: 1.2 };

const MAX_OUTPUT_TOKENS = 2_000;

/** Batch over which the cost of a decode step is spread when capacity is estimated. */
const REFERENCE_BATCH = 16;

/**
 * Work that engines finish at saturation, over the work counted one request at a time: prefill and
 * decoding overlap, and prefix caches hit.
 */
export const SATURATION_FACTOR = 1.2;

/** Requests that are drawn to estimate the mean work. */
const SAMPLE_COUNT = 20_000;

/** Time that callers give, by prompt length up to a number of tokens. */
const TIMEOUTS: readonly { readonly upTo: number; readonly timeoutMs: number }[] = [
  { upTo: 10_000, timeoutMs: 30_000 },
  { upTo: LONG_PROMPT_TOKENS, timeoutMs: 120_000 },
  { upTo: Infinity, timeoutMs: 600_000 },
];

interface DrawnRequest {
  readonly contract: RequestContract;
  readonly outputTokens: number;
}

const findTimeoutMs = (promptTokens: number): number =>
  TIMEOUTS.find(({ upTo }) => promptTokens <= upTo)?.timeoutMs ?? 0;

const measureFactor = ({ everyMs, lastsMs, factor }: Burst, atMs: number): number => {
  const quiet = (everyMs - lastsMs * factor) / (everyMs - lastsMs);
  return atMs % everyMs < lastsMs ? factor : quiet;
};

/** Work that a request costs a busy engine, in milliseconds, without hits in the prefix cache. */
export const estimateWorkMs = (
  model: EngineModel,
  { engine }: Deployment,
  promptTokens: number,
  outputTokens: number,
): number => {
  const stepMs = MS_PER_S / engine.decodeTokensPerS / REFERENCE_BATCH;
  const perTokenMs = stepMs + (engine.stepPerSequenceMs ?? 0);
  return model.measurePrefillMs(promptTokens) + outputTokens * perTokenMs;
};

/** Draws the requests of an experiment; the same settings give the same requests. */
export class Workload {
  private readonly random: RandomSource;

  private nextId = 1;

  constructor(private readonly settings: WorkloadSettings) {
    this.random = new RandomSource(settings.seed);
  }

  /** Arrivals don't wait for answers: each is planned ahead. */
  listRequests(): PlannedRequest[] {
    const { flood, load } = this.settings;
    const meanWorkMs = this.estimateMeanWorkMs();
    const planned = this.planArrivals(load, meanWorkMs, undefined);
    if (flood !== undefined) {
      planned.push(...this.planArrivals(flood.load, meanWorkMs, flood.team));
    }
    return planned.sort((a, b) => a.atMs - b.atMs);
  }

  private planArrivals(load: number, meanWorkMs: number, team?: number): PlannedRequest[] {
    const { deployment, durationMs } = this.settings;
    const peak = Math.max(deployment.shortBurst.factor, deployment.longBurst.factor);
    const meanGapMs = meanWorkMs / (load * SATURATION_FACTOR * deployment.engines);
    const planned: PlannedRequest[] = [];
    let atMs = 0;
    for (;;) {
      // Draws at the peak's rate and drops what a quieter time does not have.
      atMs += this.random.drawExponential(meanGapMs / peak);
      if (atMs > durationMs) return planned;
      const drawn = this.drawRequest(team);
      const entryVm = this.random.drawIndex(deployment.entryVms);
      const kept = this.random.drawUniform() * peak < this.measureFactorFor(drawn.contract, atMs);
      if (kept) planned.push({ ...drawn, atMs, entryVm });
    }
  }

  private measureFactorFor(contract: RequestContract, atMs: number): number {
    const { shortBurst, longBurst } = this.settings.deployment;
    const long = contract.kind === 'model' && contract.promptTokens > LONG_PROMPT_TOKENS;
    return measureFactor(long ? longBurst : shortBurst, atMs);
  }

  private estimateMeanWorkMs(): number {
    const { deployment } = this.settings;
    const sample = new Workload({ ...this.settings, seed: 1 });
    const model = new EngineModel(deployment.engine);
    let sum = 0;
    for (let count = 0; count < SAMPLE_COUNT; count += 1) {
      const { contract, outputTokens } = sample.drawRequest(undefined);
      if (contract.kind === 'model') {
        sum += estimateWorkMs(model, deployment, contract.promptTokens, outputTokens);
      }
    }
    return sum / SAMPLE_COUNT;
  }

  private drawRequest(floodingTeam: number | undefined): DrawnRequest {
    const { random } = this;
    const { teamRates } = this.settings.deployment;
    const team = floodingTeam ?? random.drawWeighted(teamRates);
    const requestId = `${floodingTeam === undefined ? 'r' : 'f'}${this.nextId}`;
    this.nextId += 1;
    if (random.drawUniform() < SERVICE_SHARE) return this.drawServiceCall(requestId, team);
    const promptTokens = this.drawPromptTokens();
    const outputTokens = Math.round(
      random.drawPareto(OUTPUT_TOKENS.min, OUTPUT_TOKENS.max, OUTPUT_TOKENS.shape),
    );
    const contract: ModelContract = {
      kind: 'model',
      requestId,
      team: `team-${team}`,
      timeoutMs: findTimeoutMs(promptTokens),
      digest: requestId,
      model: 'assistant',
      promptTokens,
      maxOutputTokens: MAX_OUTPUT_TOKENS,
      prefixDigests: this.drawPrefix(team, promptTokens),
    };
    return { contract, outputTokens };
  }

  private drawPromptTokens(): number {
    const { maxPromptTokens } = this.settings;
    const { random } = this;
    const long = random.drawUniform() < LONG_SHARE;
    const min = long ? LONG_PROMPT_TOKENS : SHORTEST_PROMPT;
    const max = long ? LONGEST_PROMPT : LONG_PROMPT_TOKENS;
    for (;;) {
      const tokens = Math.ceil(random.drawPareto(min, max, LENGTH_SHAPE));
      if (tokens <= maxPromptTokens) return tokens;
    }
  }

  private drawPrefix(team: number, promptTokens: number): string[] {
    const { random } = this;
    const { prefixesPerTeam, engine } = this.settings.deployment;
    const prefix = Math.floor(random.drawPareto(1, prefixesPerTeam + 1, 1)) - 1;
    const repeated = random.drawUniform() < REPEATED_PREFIX_SHARE;
    const blockTokens = engine.prefixBlockTokens ?? 0;
    if (!repeated || blockTokens === 0) return [];
    const blocks = Math.min(MAX_PREFIX_BLOCKS, Math.floor(promptTokens / blockTokens));
    return Array.from({ length: blocks }, (_, index) => `t${team}.p${prefix}.b${index}`);
  }

  private drawServiceCall(requestId: string, team: number): DrawnRequest {
    const nonIdempotent = this.random.drawUniform() < NON_IDEMPOTENT_SHARE;
    return {
      contract: {
        kind: 'service',
        requestId,
        team: `team-${team}`,
        timeoutMs: 5_000,
        digest: requestId,
        service: 'booking',
        idempotency: nonIdempotent ? 'nonIdempotent' : 'idempotent',
        idempotencyKey: nonIdempotent ? `key-${requestId}` : undefined,
      },
      outputTokens: 0,
    };
  }
}
