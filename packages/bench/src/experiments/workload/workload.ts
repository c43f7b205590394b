import { EngineSimulator } from '@savorywind/stand-ins';
import type { ModelContract, RequestContract } from '@savorywind/model';
import { RandomSource } from './random-source.js';
import type { Burst, Deployment, PlannedRequest, WorkloadSettings } from './types.js';

const MS_PER_S = 1_000;

const MIN_PROMPT_TOKENS = 1_000;

/** Prompts with more tokens are long. */
export const LONG_PROMPT_TOKENS = 100_000;

const MAX_PROMPT_TOKENS = 1_000_000;

/** Fraction of the prompts that are long. */
const LONG_PROMPT_FRACTION = 1 / 50;

/** Shape of the Pareto distribution of prompt lengths. */
const PROMPT_LENGTH_SHAPE = 1.2;

/** Fraction of the requests that call the plain service. */
const SERVICE_CALL_FRACTION = 0.05;

/** Fraction of the service calls that are not idempotent. */
const NON_IDEMPOTENT_FRACTION = 0.3;

/** Fraction of the prompts that begin with a prefix shared within their team. */
const SHARED_PREFIX_FRACTION = 0.5;

/** Longest shared prefix, in cache blocks. */
const MAX_PREFIX_BLOCKS = 8;

/** Bounded Pareto distribution of output lengths. */
const OUTPUT_TOKENS = { min: 40, max: 2_000, shape: 1.2 };

const MAX_OUTPUT_TOKENS = 2_000;

/** Batch size over which the fixed time of a decode step is divided to estimate capacity. */
const REFERENCE_BATCH_SIZE = 16;

/**
 * Work that engines complete at saturation, divided by the sum of the estimates per request. It is
 * above 1 because prefill and decode overlap and because of prefix cache hits.
 */
export const SATURATION_FACTOR = 1.2;

/** Number of requests drawn to estimate the mean work per request. */
const SAMPLE_COUNT = 20_000;

/** Timeout that callers set, by prompt length. */
const TIMEOUTS: readonly { readonly maxPromptTokens: number; readonly timeoutMs: number }[] = [
  { maxPromptTokens: 10_000, timeoutMs: 30_000 },
  { maxPromptTokens: LONG_PROMPT_TOKENS, timeoutMs: 120_000 },
  { maxPromptTokens: Infinity, timeoutMs: 600_000 },
];

interface DrawnRequest {
  readonly contract: RequestContract;
  readonly outputTokens: number;
}

const findTimeoutMs = (promptTokens: number): number =>
  TIMEOUTS.find(({ maxPromptTokens }) => promptTokens <= maxPromptTokens)?.timeoutMs ?? 0;

/** Returns the arrival rate at a time divided by the mean rate. */
const findRateFactor = ({ intervalMs, burstMs, rateFactor }: Burst, arrivalMs: number): number => {
  const baseFactor = (intervalMs - burstMs * rateFactor) / (intervalMs - burstMs);
  return arrivalMs % intervalMs < burstMs ? rateFactor : baseFactor;
};

/** Estimates a request's engine time in a batch of `REFERENCE_BATCH_SIZE`, without cache hits. */
export const estimateWorkMs = (
  simulator: EngineSimulator,
  { engine }: Deployment,
  promptTokens: number,
  outputTokens: number,
): number => {
  const stepMs = MS_PER_S / engine.decodeTokensPerS / REFERENCE_BATCH_SIZE;
  const perTokenMs = stepMs + (engine.stepPerSequenceMs ?? 0);
  return simulator.estimatePrefillMs(promptTokens) + outputTokens * perTokenMs;
};

/** Generates the requests of a run; the same settings give the same requests. */
export class Workload {
  private readonly random: RandomSource;

  private nextId = 1;

  constructor(private readonly settings: WorkloadSettings) {
    this.random = new RandomSource(settings.seed);
  }

  /** Returns all requests by arrival time. Arrivals are open-loop and await no responses. */
  listRequests(): PlannedRequest[] {
    const { extraLoad, load } = this.settings;
    const meanWorkMs = this.estimateMeanWorkMs();
    const requests = this.drawArrivals(load, meanWorkMs, undefined);
    if (extraLoad !== undefined) {
      requests.push(...this.drawArrivals(extraLoad.load, meanWorkMs, extraLoad.team));
    }
    return requests.sort((a, b) => a.arrivalMs - b.arrivalMs);
  }

  /** Draws Poisson arrivals whose rate follows the bursts; `team` sets the team of all requests. */
  private drawArrivals(load: number, meanWorkMs: number, team?: number): PlannedRequest[] {
    const { deployment, durationMs } = this.settings;
    const peakFactor = Math.max(deployment.shortBurst.rateFactor, deployment.longBurst.rateFactor);
    const meanGapMs = meanWorkMs / (load * SATURATION_FACTOR * deployment.engines);
    const requests: PlannedRequest[] = [];
    let arrivalMs = 0;
    for (;;) {
      // Thinning: draws arrivals at the peak rate and rejects some where the rate is lower.
      arrivalMs += this.random.drawExponential(meanGapMs / peakFactor);
      if (arrivalMs > durationMs) return requests;
      const request = this.drawRequest(team);
      const entryVmIndex = this.random.drawIndex(deployment.entryVms);
      const isKept =
        this.random.drawUniform() * peakFactor <
        this.findContractRateFactor(request.contract, arrivalMs);
      if (isKept) requests.push({ ...request, arrivalMs, entryVmIndex });
    }
  }

  private findContractRateFactor(contract: RequestContract, arrivalMs: number): number {
    const { shortBurst, longBurst } = this.settings.deployment;
    const isLong = contract.kind === 'model' && contract.promptTokens > LONG_PROMPT_TOKENS;
    return findRateFactor(isLong ? longBurst : shortBurst, arrivalMs);
  }

  /** Estimates the mean work of a request from a sample with a fixed seed. */
  private estimateMeanWorkMs(): number {
    const { deployment } = this.settings;
    const sample = new Workload({ ...this.settings, seed: 1 });
    const simulator = new EngineSimulator(deployment.engine);
    let sum = 0;
    for (let count = 0; count < SAMPLE_COUNT; count += 1) {
      const { contract, outputTokens } = sample.drawRequest(undefined);
      if (contract.kind === 'model') {
        sum += estimateWorkMs(simulator, deployment, contract.promptTokens, outputTokens);
      }
    }
    return sum / SAMPLE_COUNT;
  }

  /** Draws a request of the overloading team, or of a team drawn by request rate if undefined. */
  private drawRequest(overloadingTeam: number | undefined): DrawnRequest {
    const { random } = this;
    const { teamRates } = this.settings.deployment;
    const team = overloadingTeam ?? random.drawWeighted(teamRates);
    const requestId = `${overloadingTeam === undefined ? 'r' : 'f'}${this.nextId}`;
    this.nextId += 1;
    if (random.drawUniform() < SERVICE_CALL_FRACTION) return this.drawServiceCall(requestId, team);
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

  /** Draws a prompt length: long or not first, then from the Pareto distribution of that class. */
  private drawPromptTokens(): number {
    const { maxPromptTokens } = this.settings;
    const { random } = this;
    const isLong = random.drawUniform() < LONG_PROMPT_FRACTION;
    const min = isLong ? LONG_PROMPT_TOKENS : MIN_PROMPT_TOKENS;
    const max = isLong ? MAX_PROMPT_TOKENS : LONG_PROMPT_TOKENS;
    for (;;) {
      const tokens = Math.ceil(random.drawPareto(min, max, PROMPT_LENGTH_SHAPE));
      if (tokens <= maxPromptTokens) return tokens;
    }
  }

  /** Returns the digests of the blocks of a shared prefix; none if the prompt has no prefix. */
  private drawPrefix(team: number, promptTokens: number): string[] {
    const { random } = this;
    const { prefixesPerTeam, engine } = this.settings.deployment;
    const prefix = Math.floor(random.drawPareto(1, prefixesPerTeam + 1, 1)) - 1;
    const isShared = random.drawUniform() < SHARED_PREFIX_FRACTION;
    const blockTokens = engine.prefixBlockTokens ?? 0;
    if (!isShared || blockTokens === 0) return [];
    const blocks = Math.min(MAX_PREFIX_BLOCKS, Math.floor(promptTokens / blockTokens));
    return Array.from({ length: blocks }, (_, index) => `t${team}.p${prefix}.b${index}`);
  }

  private drawServiceCall(requestId: string, team: number): DrawnRequest {
    const isNonIdempotent = this.random.drawUniform() < NON_IDEMPOTENT_FRACTION;
    return {
      contract: {
        kind: 'service',
        requestId,
        team: `team-${team}`,
        timeoutMs: 5_000,
        digest: requestId,
        service: 'booking',
        idempotency: isNonIdempotent ? 'nonIdempotent' : 'idempotent',
        idempotencyKey: isNonIdempotent ? `key-${requestId}` : undefined,
      },
      outputTokens: 0,
    };
  }
}
