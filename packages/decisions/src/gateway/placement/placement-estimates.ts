import type { EngineTraits, GatewayEndpoint } from '@savorywind/model';
import { GAP_BUDGET_FRACTION, MEMORY_BUDGET_FRACTION } from '../consts.js';
import { estimatePassMs } from './engine-costs.js';
import type { EngineLoad } from '../fleet-load-tracker.js';

/** Properties of a generation on which its placement depends. */
export interface PlacementInput {
  /** Prefill time of the whole prompt on one idle engine, in milliseconds. */
  readonly prefillMs: number;
  /** Prompt and output tokens, which use KV cache. */
  readonly memoryTokens: number;
  /** Time left until the route's target latency is exceeded; negative once it is. */
  readonly targetLeftMs: number;
  /**
   * Engines are added to a long prompt's prefill until its first event is estimated within this
   * time.
   */
  readonly splitTargetMs: number;
  /** Whether the prefill alone takes too long for the shortest permitted pause of the service. */
  readonly isLong: boolean;
  /**
   * Whether a long prompt may be placed behind the prefill of other prompts; otherwise only engines
   * with little queued prefill are considered.
   */
  readonly mayQueue: boolean;
  /** Uniform random number from 0 to 1, so that concurrent choices of entry VMs differ. */
  readonly random: number;
  /**
   * Requests that other entry VMs may have placed on the candidates without this one knowing; 0 where
   * each change is told at once.
   */
  readonly unseenRequests: number;
}

/** An engine that prefills a part of the prompt, and holds a part of its KV cache where needed. */
export interface PlacedHelper {
  readonly endpoint: GatewayEndpoint;
  /** Memory to reserve at the helper; 0 if it only prefills. */
  readonly reservedTokens: number;
}

/** The engines chosen for a generation, and the estimated effects of the choice. */
export interface Placement {
  /** The primary engine, which gets the request. */
  readonly endpoint: GatewayEndpoint;
  /** Load of the primary engine without this request. */
  readonly load: EngineLoad;
  /** Engines that prefill one part each, besides the primary engine. */
  readonly helpers: readonly PlacedHelper[];
  /** Prefill time of each part, in milliseconds. */
  readonly partMs: number;
  /** KV cache used at the primary engine, in tokens. */
  readonly memoryTokens: number;
  /**
   * Weight of the streams whose pauses the placement makes too long; see
   * {@link measureStreamWeight}.
   */
  readonly disruption: number;
  /**
   * Whether the estimated time to the first event exceeds {@link TARGET_BUDGET_FRACTION} of the
   * time left to the target latency.
   */
  readonly isLate: boolean;
  /** Estimated time to the first event, in milliseconds. */
  readonly firstEventMs: number;
  /** Whether the primary engine is already at its fill limit. */
  readonly isAtFillLimit: boolean;
  /** Fraction of the candidate engines that have no request. */
  readonly idleFraction: number;
  /** Fraction of the candidate engines that have no request and get no part of this one. */
  readonly remainingIdleFraction: number;
}

/** An engine that may get the request, with the work that all entry VMs have on it. */
export interface EngineCandidate {
  readonly endpoint: GatewayEndpoint;
  readonly load: EngineLoad;
  /**
   * Whether it may get the request itself. An endpoint with a limit and no permit may still be a prefill
   * helper, as its limit counts the requests of entry VMs.
   */
  readonly isPermitted: boolean;
  /**
   * Whether it is cold, and what it may get is bounded. Such an engine helps with no prompt, because all
   * engines of a joint prefill wait for the slowest.
   */
  readonly isCold: boolean;
}

/** The estimated effects of a placement on one engine. */
export interface EngineEstimate extends EngineCandidate {
  readonly disruption: number;
  readonly firstEventMs: number;
  readonly isLate: boolean;
}

/**
 * Fraction of the time left to the target that an estimate may use; the rest absorbs work that this
 * entry VM does not know of yet.
 */
export const TARGET_BUDGET_FRACTION = { short: 0.65, long: 0.75 };

/** Passes before a first event: the one in progress, and the one that prefills the prompt. */
export const PASSES_TO_FIRST_EVENT = 2;

/** Prompt and output tokens that weigh as much as one short stream. */
export const TOKENS_PER_STREAM_WEIGHT = 10_000;

/**
 * Fraction of its slots up to which an engine is filled while others have free slots. The rest
 * absorbs concurrent placements of several entry VMs.
 */
const FILL_LIMIT_FRACTION = 0.75;

/** Counts the requests that use a slot. */
export const countRequests = (load: EngineLoad): number => load.writers + load.readers;

export const isIdle = ({ load }: EngineCandidate): boolean => countRequests(load) === 0;

const computeFillLimit = ({ slots }: GatewayEndpoint): number =>
  Math.floor(FILL_LIMIT_FRACTION * slots);

/** Whether an engine is filled up to the limit that holds while others have free slots. */
export const isAtFillLimit = ({ endpoint, load }: EngineCandidate): boolean =>
  countRequests(load) >= computeFillLimit(endpoint);

/** Counts the free slots up to the fill limit, or of an engine at that limit all of them. */
export const countFreeSlots = (candidate: EngineCandidate): number => {
  const { endpoint, load } = candidate;
  const limit = isAtFillLimit(candidate) ? endpoint.slots : computeFillLimit(endpoint);
  return limit - countRequests(load);
};

/**
 * Measures the weight of the streams on an engine: their number, or their tokens if that is more.
 */
export const measureStreamWeight = ({ tightWriters, memoryTokens }: EngineLoad): number =>
  Math.max(tightWriters, memoryTokens / TOKENS_PER_STREAM_WEIGHT);

/** Whether the engine may get a request, and has a free slot for it. */
export const hasSlot = (
  { endpoint, load, isPermitted }: EngineCandidate,
  traits: EngineTraits,
): boolean => isPermitted && countRequests(load) < Math.min(traits.slots, endpoint.slots);

/** Counts the tokens of KV cache that placements may still use. */
export const countFreeTokens = ({ load }: EngineCandidate, traits: EngineTraits): number =>
  Math.max(0, Math.floor(MEMORY_BUDGET_FRACTION * traits.memoryTokens - load.memoryTokens));

/** Whether the engine may get a request, and has a free slot and memory for a request with this number of tokens. */
export const hasCapacity = (
  candidate: EngineCandidate,
  tokens: number,
  traits: EngineTraits,
): boolean => hasSlot(candidate, traits) && tokens <= countFreeTokens(candidate, traits);

/**
 * Estimates the time to the first event, and the weight of the disrupted streams, if an engine
 * prefills a part of the prompt.
 *
 * @param partMs prefill time of the part, in milliseconds
 */
export const estimatePlacement = (
  candidate: EngineCandidate,
  partMs: number,
  input: PlacementInput,
  traits: EngineTraits,
): EngineEstimate => {
  const { load } = candidate;
  const passMs = estimatePassMs(traits, load.writers + 1, load.memoryTokens);
  const gapMs = passMs + load.readMs + partMs;
  const isDisrupted = load.tightGapMs > 0 && gapMs > GAP_BUDGET_FRACTION * load.tightGapMs;
  const firstEventMs = PASSES_TO_FIRST_EVENT * passMs + load.readMs + partMs;
  return {
    ...candidate,
    disruption: isDisrupted ? measureStreamWeight(load) : 0,
    firstEventMs,
    isLate:
      firstEventMs > TARGET_BUDGET_FRACTION[input.isLong ? 'long' : 'short'] * input.targetLeftMs,
  };
};

/** The estimate for a helper, and the memory to reserve there. */
export interface HelperEstimate {
  readonly estimate: EngineEstimate;
  readonly reservedTokens: number;
}

/**
 * Builds a placement from the estimates of its engines. {@link placeGeneration} fills in the
 * fractions of idle engines.
 */
export const buildPlacement = (
  primary: EngineEstimate,
  helpers: readonly HelperEstimate[],
  partMs: number,
  memoryTokens: number,
): Placement => {
  const all = [primary, ...helpers.map(({ estimate }) => estimate)];
  return {
    endpoint: primary.endpoint,
    load: primary.load,
    helpers: helpers.map(({ estimate, reservedTokens }) => ({
      endpoint: estimate.endpoint,
      reservedTokens,
    })),
    partMs,
    memoryTokens,
    disruption: all.reduce((sum, { disruption }) => sum + disruption, 0),
    isLate: all.some(({ isLate }) => isLate),
    firstEventMs: Math.max(...all.map(({ firstEventMs }) => firstEventMs)),
    isAtFillLimit: isAtFillLimit(primary),
    idleFraction: 0,
    remainingIdleFraction: 0,
  };
};
