import type { EngineTraits, GatewayEndpoint } from '@savorywind/model';
import { GAP_HEADROOM, MEMORY_HEADROOM } from './consts.js';
import { estimatePassMs } from './engine-costs.js';
import type { EngineLoad } from './fleet-picture.js';

/** What a placement needs to know of a generation. */
export interface PlacementAsk {
  /** Time that one idle engine takes to read the prompt, in milliseconds. */
  readonly readMs: number;
  readonly memoryTokens: number;
  /** Time left until the first event is late; negative where it is late already. */
  readonly aimLeftMs: number;
  /** More engines read a long prompt until the estimate of its first event is under this time. */
  readonly spreadMs: number;
  /** Whether reading this prompt alone would spoil the tightest pauses of the service. */
  readonly isLong: boolean;
  /** Whether a long prompt may queue behind the reading of others; else it waits for calm engines. */
  readonly mayQueue: boolean;
  /** From 0 to 1, drawn for each try: entry VMs that choose at the same moment choose differently. */
  readonly lot: number;
}

/** An engine that reads a part of the prompt, and keeps some of its memory if it must. */
export interface PlacedHelper {
  readonly endpoint: GatewayEndpoint;
  /** Memory to reserve there; 0 where it only reads. */
  readonly reservedTokens: number;
}

export interface Placement {
  readonly endpoint: GatewayEndpoint;
  /** Load of the first engine before. */
  readonly load: EngineLoad;
  /** Engines that read a part each, besides the first one. */
  readonly helpers: readonly PlacedHelper[];
  /** Reading time of each part, in milliseconds. */
  readonly partMs: number;
  /** Memory at the first engine. */
  readonly memoryTokens: number;
  /** Weight of the streams whose pauses become too long. */
  readonly harmed: number;
  readonly isLate: boolean;
  /** Estimate of the time to the first event. */
  readonly firstEventMs: number;
  /** Whether the first engine is filled as far as it should be while others are free. */
  readonly isPacked: boolean;
  /** Share of all engines that have no work. */
  readonly idleShare: number;
  /** Share of all engines that have no work and that this placement leaves free. */
  readonly spareShare: number;
}

/** An engine that may get the request, with the work that all entry VMs have there. */
export interface EngineCandidate {
  readonly endpoint: GatewayEndpoint;
  readonly load: EngineLoad;
}

/** An engine, and what a placement there would do. */
export interface Estimate extends EngineCandidate {
  readonly harmed: number;
  readonly firstEventMs: number;
  readonly isLate: boolean;
}

/** Part of its aim that a first event may use by the estimate; the rest is for work not yet known. */
export const AIM_HEADROOM = { short: 0.65, long: 0.75 };

/** A first event waits for the end of the pass in progress and of its own. */
export const PASSES_TO_FIRST_EVENT = 2;

/** Tokens of a prompt that weigh as much as one short stream. */
export const TOKENS_PER_WEIGHT = 10_000;

/** Share of the slots up to which engines are filled while others are free; entry VMs may race. */
const PACKED_SHARE = 0.75;

/** Requests that take a slot. */
export const countRequests = (load: EngineLoad): number => load.writers + load.readers;

/** Whether an engine has no work at all. */
export const isIdle = ({ load }: EngineCandidate): boolean => countRequests(load) === 0;

/** Whether an engine is filled as far as it should be while others are free. */
export const isPacked = ({ endpoint, load }: EngineCandidate): boolean =>
  countRequests(load) >= Math.floor(PACKED_SHARE * endpoint.slots);

/** What the streams on an engine weigh: each at least one, long ones by their tokens. */
export const countWeight = ({ tightWriters, memoryTokens }: EngineLoad): number =>
  Math.max(tightWriters, memoryTokens / TOKENS_PER_WEIGHT);

/** Whether the engine would begin one more request. */
export const hasSlot = ({ endpoint, load }: EngineCandidate, traits: EngineTraits): boolean =>
  countRequests(load) < Math.min(traits.slots, endpoint.slots);

/** Memory that placements may still fill, in tokens. */
export const countFreeTokens = ({ load }: EngineCandidate, traits: EngineTraits): number =>
  Math.max(0, Math.floor(MEMORY_HEADROOM * traits.memoryTokens - load.memoryTokens));

/** Whether the engine has a slot and memory for a request of so many tokens. */
export const hasRoom = (
  candidate: EngineCandidate,
  tokens: number,
  traits: EngineTraits,
): boolean => hasSlot(candidate, traits) && tokens <= countFreeTokens(candidate, traits);

/**
 * What becomes of an engine’s streams, and of the first event, if it reads a part there.
 *
 * @param partMs reading time of the part, in milliseconds
 */
export const estimateOn = (
  candidate: EngineCandidate,
  partMs: number,
  ask: PlacementAsk,
  traits: EngineTraits,
): Estimate => {
  const { load } = candidate;
  const passMs = estimatePassMs(traits, load.writers + 1, load.memoryTokens);
  const gapMs = passMs + load.readMs + partMs;
  const spoils = load.tightGapMs > 0 && gapMs > GAP_HEADROOM * load.tightGapMs;
  const firstEventMs = PASSES_TO_FIRST_EVENT * passMs + load.readMs + partMs;
  return {
    ...candidate,
    harmed: spoils ? countWeight(load) : 0,
    firstEventMs,
    isLate: firstEventMs > AIM_HEADROOM[ask.isLong ? 'long' : 'short'] * ask.aimLeftMs,
  };
};

/** A helper, and the memory that is to be reserved there. */
export interface HelperEstimate {
  readonly estimate: Estimate;
  readonly reservedTokens: number;
}

/** Puts a first engine and its helpers together. */
export const buildPlacement = (
  first: Estimate,
  helpers: readonly HelperEstimate[],
  partMs: number,
  memoryTokens: number,
): Placement => {
  const all = [first, ...helpers.map(({ estimate }) => estimate)];
  return {
    endpoint: first.endpoint,
    load: first.load,
    helpers: helpers.map(({ estimate, reservedTokens }) => ({
      endpoint: estimate.endpoint,
      reservedTokens,
    })),
    partMs,
    memoryTokens,
    harmed: all.reduce((sum, { harmed }) => sum + harmed, 0),
    isLate: all.some(({ isLate }) => isLate),
    firstEventMs: Math.max(...all.map(({ firstEventMs }) => firstEventMs)),
    isPacked: isPacked(first),
    idleShare: 0,
    spareShare: 0,
  };
};
