import type { EngineTraits, GatewayEndpoint } from '@savorywind/model';
import { GAP_HEADROOM, MAX_HELPERS, MEMORY_HEADROOM } from './consts.js';
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

export interface EngineCandidate {
  readonly endpoint: GatewayEndpoint;
  readonly load: EngineLoad;
}

interface Estimate extends EngineCandidate {
  readonly harmed: number;
  readonly firstEventMs: number;
  readonly isLate: boolean;
}

/** Part of its aim that a first event may use by the estimate; the rest is for work not yet known. */
export const AIM_HEADROOM = { short: 0.65, long: 0.75 };

/** Share of the slots up to which engines are filled while others are free; entry VMs may race. */
const PACKED_SHARE = 0.75;

/** A first event waits for the end of the pass in progress and of its own. */
export const PASSES_TO_FIRST_EVENT = 2;

const countRequests = (load: EngineLoad): number => load.writers + load.readers;

/** Growth of the number of readers from one try to the next. */
const READERS_STEP = 0.35;

/** Tokens of a prompt that weigh as much as one short stream. */
export const TOKENS_PER_WEIGHT = 10_000;

/** Engines among which a short prompt's is drawn: as good as one, and half as many collisions. */
const MAX_ALIKE = 2;

/** Difference in requests up to which two engines are filled alike. */
const ALIKE_REQUESTS = 3;

/** Reading that is queued on an engine that may take a long prompt: the rest of a pass or two. */
const CALM_READ_MS = 120;

/** A long prompt is being read until its first event is there, whatever the estimate says. */
const isCalm = ({ load }: EngineCandidate): boolean =>
  load.longReaders === 0 && load.readMs <= CALM_READ_MS;

const isIdle = ({ load }: EngineCandidate): boolean => countRequests(load) === 0;

const isPacked = ({ endpoint, load }: EngineCandidate): boolean =>
  countRequests(load) >= Math.floor(PACKED_SHARE * endpoint.slots);

/** What the streams on an engine weigh: each at least one, long ones by their tokens. */
const countWeight = ({ tightWriters, memoryTokens }: EngineLoad): number =>
  Math.max(tightWriters, memoryTokens / TOKENS_PER_WEIGHT);

const hasSlot = ({ endpoint, load }: EngineCandidate, traits: EngineTraits): boolean =>
  countRequests(load) < Math.min(traits.slots, endpoint.slots);

const countFreeTokens = ({ load }: EngineCandidate, traits: EngineTraits): number =>
  Math.max(0, Math.floor(MEMORY_HEADROOM * traits.memoryTokens - load.memoryTokens));

const hasRoom = (candidate: EngineCandidate, tokens: number, traits: EngineTraits): boolean =>
  hasSlot(candidate, traits) && tokens <= countFreeTokens(candidate, traits);

const estimateOn = (
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

/** Packs up to a share of the slots: engines that stay empty can take long prompts. */
const compareForShort = (a: Estimate, b: Estimate): number =>
  a.harmed - b.harmed ||
  Number(a.isLate) - Number(b.isLate) ||
  Number(isPacked(a)) - Number(isPacked(b)) ||
  countRequests(b.load) - countRequests(a.load) ||
  a.firstEventMs - b.firstEventMs;

const compareForLong = (a: Estimate, b: Estimate): number =>
  a.harmed - b.harmed ||
  a.load.readMs - b.load.readMs ||
  countRequests(a.load) - countRequests(b.load);

interface HelperEstimate {
  readonly estimate: Estimate;
  readonly reservedTokens: number;
}

const buildPlacement = (
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

const listIdle = (candidates: readonly EngineCandidate[]): string[] =>
  candidates.filter(isIdle).map(({ endpoint }) => endpoint.id);

const countSpareShare = (idle: readonly string[], placement: Placement, total: number): number => {
  const helpers = placement.helpers.map(({ endpoint }) => endpoint.id);
  const used = new Set([placement.endpoint.id, ...helpers]);
  return idle.filter((id) => !used.has(id)).length / total;
};

/** How many of the first engines are about as good as the best one. */
const countAlike = (estimates: readonly Estimate[]): number => {
  const [best] = estimates;
  if (best === undefined || best.isLate || best.harmed > 0 || isPacked(best)) return 1;
  const end = estimates.findIndex(
    (other) =>
      other.isLate ||
      other.harmed > 0 ||
      isPacked(other) ||
      (isIdle(other) && !isIdle(best)) ||
      countRequests(best.load) - countRequests(other.load) > ALIKE_REQUESTS,
  );
  return Math.min(MAX_ALIKE, end < 0 ? estimates.length : end);
};

const placeShort = (
  ask: PlacementAsk,
  candidates: readonly EngineCandidate[],
  traits: EngineTraits,
): Placement | undefined => {
  const estimates = candidates
    .filter((candidate) => hasRoom(candidate, ask.memoryTokens, traits))
    .map((candidate) => estimateOn(candidate, ask.readMs, ask, traits));
  estimates.sort(compareForShort);
  const alike = countAlike(estimates);
  const best = estimates[Math.floor(ask.lot * alike)];
  return best === undefined ? undefined : buildPlacement(best, [], ask.readMs, ask.memoryTokens);
};

/**
 * Divides the memory of a prompt that no engine can hold alone: helpers with the most free memory
 * keep what does not fit at the first engine.
 *
 * @returns undefined where the memory of all of them is not enough
 */
const reserveParts = (
  helpers: readonly Estimate[],
  missingTokens: number,
  traits: EngineTraits,
): HelperEstimate[] | undefined => {
  let missing = missingTokens;
  const byMemory = [...helpers].sort(
    (a, b) => countFreeTokens(b, traits) - countFreeTokens(a, traits),
  );
  const reserved = byMemory.map((estimate) => {
    const reservedTokens = Math.min(missing, countFreeTokens(estimate, traits));
    missing -= reservedTokens;
    return { estimate, reservedTokens };
  });
  return missing > 0 ? undefined : reserved;
};

const placeInParts = (
  ask: PlacementAsk,
  estimates: readonly Estimate[],
  traits: EngineTraits,
  readers: number,
): Placement | undefined => {
  const first = estimates.find((estimate) => hasSlot(estimate, traits));
  if (first === undefined) return undefined;
  const others = estimates.filter((estimate) => estimate !== first).slice(0, readers - 1);
  const ownTokens = Math.min(ask.memoryTokens, countFreeTokens(first, traits));
  const helpers = reserveParts(others, ask.memoryTokens - ownTokens, traits);
  if (helpers === undefined) return undefined;
  return buildPlacement(first, helpers, ask.readMs / readers, ownTokens);
};

const placeWithReaders = (
  ask: PlacementAsk,
  candidates: readonly EngineCandidate[],
  traits: EngineTraits,
  readers: number,
): Placement | undefined => {
  const partMs = ask.readMs / readers;
  const estimates = candidates
    .map((candidate) => estimateOn(candidate, partMs, ask, traits))
    .sort(compareForLong);
  if (ask.memoryTokens > MEMORY_HEADROOM * traits.memoryTokens) {
    return placeInParts(ask, estimates, traits, readers);
  }
  const first = estimates.find((estimate) => hasRoom(estimate, ask.memoryTokens, traits));
  if (first === undefined) return undefined;
  const helpers = estimates
    .filter((estimate) => estimate !== first)
    .slice(0, readers - 1)
    .map((estimate) => ({ estimate, reservedTokens: 0 }));
  return buildPlacement(first, helpers, partMs, ask.memoryTokens);
};

const isBetter = (a: Placement, b: Placement): boolean =>
  a.harmed < b.harmed || (a.harmed === b.harmed && a.firstEventMs < b.firstEventMs);

/** Numbers of readers to try: from the fewest that might do, in growing steps. */
const listReaderCounts = (ask: PlacementAsk, engines: number, traits: EngineTraits): number[] => {
  const most = Math.min(MAX_HELPERS + 1, engines);
  const idleMs = PASSES_TO_FIRST_EVENT * estimatePassMs(traits, 1, 0);
  const partMs = ask.spreadMs - idleMs;
  // One that is late may also be read more slowly, where more engines would disturb others.
  const mayBeSlow = partMs <= 0 || ask.aimLeftMs <= 0;
  const fewest = mayBeSlow ? 1 : Math.min(most, Math.ceil(ask.readMs / partMs));
  const counts: number[] = [];
  for (let count = fewest; count < most; count += Math.ceil(count * READERS_STEP)) {
    counts.push(count);
  }
  return most > 0 ? [...counts, most] : [];
};

/** Takes as few readers as bring the first event in time without spoiling other streams. */
const placeLong = (
  ask: PlacementAsk,
  candidates: readonly EngineCandidate[],
  traits: EngineTraits,
): Placement | undefined => {
  const usable = ask.mayQueue ? candidates : candidates.filter(isCalm);
  let best: Placement | undefined;
  for (const readers of listReaderCounts(ask, usable.length, traits)) {
    const placement = placeWithReaders(ask, usable, traits, readers);
    if (placement !== undefined && (best === undefined || isBetter(placement, best))) {
      best = placement;
    }
    if (best?.harmed === 0 && best.firstEventMs <= ask.spreadMs) return best;
  }
  return best;
};

/**
 * Chooses engines for a generation. Answers a load that swings between many short prompts and a few
 * long ones: short ones share engines, long ones are read where no stream is disturbed, by several
 * engines where one would be late or has not the memory.
 *
 * @returns undefined where no engine has room
 */
export const placeGeneration = (
  ask: PlacementAsk,
  candidates: readonly EngineCandidate[],
  traits: EngineTraits,
): Placement | undefined => {
  const place = ask.isLong ? placeLong : placeShort;
  const placement = place(ask, candidates, traits);
  if (placement === undefined) return undefined;
  const idle = listIdle(candidates);
  return {
    ...placement,
    idleShare: idle.length / candidates.length,
    spareShare: countSpareShare(idle, placement, candidates.length),
  };
};
